package main

import (
	"fmt"
	"strings"

	"github.com/plantainstair/plantainstair/pkg/config"
	"github.com/plantainstair/plantainstair/pkg/ctl"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/role/agent"
	"github.com/plantainstair/plantainstair/pkg/role/control"
	"github.com/plantainstair/plantainstair/pkg/role/entry"
	"github.com/plantainstair/plantainstair/platform"
)

var roles = []string{"entry", "agent", "control", "plantainctl", "gateway", "coordinator"}

// newSettings returns empty settings for a role.
func newSettings(role string) (any, error) {
	switch role {
	case "entry":
		return &entry.Settings{}, nil
	case "agent":
		return &agent.Settings{}, nil
	case "control":
		return &control.Settings{}, nil
	case "plantainctl":
		return &ctl.Settings{}, nil
	}
	if settings := platform.NewSettings(role); settings != nil {
		return settings, nil
	}
	return nil, fault.New(fault.Invalid, "%q is not one of %s", role, strings.Join(roles, ", ")).WithField("role")
}

func (c *commands) addCheckConfig() {
	var role, file string
	sub := newSubcommand("check-config", "Checks a settings file and lists every fault.")
	sub.AddPositionalValue(&role, "role", 1, true, "One of "+strings.Join(roles, ", ")+".")
	sub.AddPositionalValue(&file, "file", 2, true, "Settings file.")
	c.list = append(c.list, command{sub: sub, run: func() error {
		settings, err := newSettings(role)
		if err != nil {
			return err
		}
		if err := config.Load(file, settings); err != nil {
			return err
		}
		fmt.Println("settings are valid")
		return nil
	}})
}

func (c *commands) addSettings() {
	sub := newSubcommand("settings", "Prints the settings reference of every role.")
	c.list = append(c.list, command{sub: sub, run: func() error {
		text, err := settingsReference()
		if err != nil {
			return err
		}
		fmt.Print(text)
		return nil
	}})
}

// settingsReference returns the text of docs/settings.md.
func settingsReference() (string, error) {
	var b strings.Builder
	b.WriteString("# Settings\n\nWritten by `plantainctl settings`. Files are in INI format; `plantainctl check-config ROLE FILE` checks one.\n")
	for _, role := range roles {
		settings, err := newSettings(role)
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&b, "\n## %s\n\n%s", role, config.Reference(settings))
	}
	return b.String(), nil
}
