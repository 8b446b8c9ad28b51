package callers

import "strings"

// modelName is a model with an optional version and adapter.
type modelName struct {
	Name, Version, Adapter string
}

// parseModelName splits "name", "name@version", "name:adapter" or
// "name@version:adapter".
func parseModelName(text string) (modelName, error) {
	rest, adapter, hasAdapter := strings.Cut(text, ":")
	name, version, hasVersion := strings.Cut(rest, "@")
	if name == "" || (hasAdapter && adapter == "") || (hasVersion && version == "") {
		return modelName{}, refuse("model", "model must have the form name, name@version, name:adapter or name@version:adapter")
	}
	return modelName{Name: name, Version: version, Adapter: adapter}, nil
}
