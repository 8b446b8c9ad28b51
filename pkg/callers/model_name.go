package callers

import "strings"

// modelName is a parsed model name with optional version and adapter.
type modelName struct {
	Name, Version, Adapter string
}

// parseModelName parses "name", "name@version", "name:adapter" or
// "name@version:adapter".
func parseModelName(text string) (modelName, error) {
	rest, adapter, hasAdapter := strings.Cut(text, ":")
	name, version, hasVersion := strings.Cut(rest, "@")
	if name == "" || (hasAdapter && adapter == "") || (hasVersion && version == "") {
		return modelName{}, invalidField("model", "model must have the form name, name@version, name:adapter or name@version:adapter")
	}
	return modelName{Name: name, Version: version, Adapter: adapter}, nil
}
