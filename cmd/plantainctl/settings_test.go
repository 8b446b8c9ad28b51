package main

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a settings reference that does not match the settings. Update it
// with: go run ./cmd/plantainctl settings > docs/settings.md
func TestSettingsReference_MatchesPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/settings.md")
	assert.NilError(t, err)
	text, err := settingsReference()
	assert.NilError(t, err)
	assert.Equal(t, string(page), text)
}
