package main

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a settings reference that lags behind the settings. Rebuild it
// with: go run ./cmd/plantainctl settings > docs/settings.md
func TestSettingsReferenceIsCurrent(t *testing.T) {
	page, err := os.ReadFile("../../docs/settings.md")
	assert.NilError(t, err)
	text, err := settingsReference()
	assert.NilError(t, err)
	assert.Equal(t, string(page), text)
}
