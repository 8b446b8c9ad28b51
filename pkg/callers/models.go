package callers

import "net/http"

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID       string   `json:"id"`
	Object   string   `json:"object"`
	Created  int64    `json:"created"`
	OwnedBy  string   `json:"owned_by"`
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
}

// serveModels handles GET /v1/models. The field created is zero because the
// catalogue does not store creation times.
func (a *api) serveModels(x *exchange, _ *http.Request) {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, e := range a.opts.Router.Models() {
		list.Data = append(list.Data, modelItem{
			ID:       e.GetName(),
			Object:   "model",
			OwnedBy:  e.GetOwner(),
			Version:  e.GetModel().GetVersion(),
			Adapters: e.GetModel().GetAdapters(),
		})
	}
	x.writeJSON(http.StatusOK, list)
}
