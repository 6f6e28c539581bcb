//go:build review

package standin2

import (
	"encoding/json"
	"net/http"
)

// readJSON decodes the body of a request.
func readJSON(r *http.Request, v any) error { return json.NewDecoder(r.Body).Decode(v) }

// writeJSON answers with a value.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // The caller may have left.
}
