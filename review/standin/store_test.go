//go:build review

package standin

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/jujuberamp/jujuberamp/internal/stand/topic"
	"github.com/jujuberamp/jujuberamp/platform/fake"
)

// storeHandler serves the fake store. Unlike [fake.StoreHandler] it also keeps the newest
// record of each key for records that a process appends to a keyed topic.
type storeHandler struct {
	fake.StoreHandler
	store *topic.Store
}

func newStoreHandler(s *topic.Store) storeHandler {
	return storeHandler{fake.StoreHandler{Store: s}, s}
}

func (h storeHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("topic")
	if r.URL.Path != "/log-append" || !strings.HasPrefix(name, "keyed.") {
		h.StoreHandler.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // The caller disconnected.
	}
	for len(body) >= 4 {
		n := 4 + int(binary.BigEndian.Uint32(body))
		k, err := topic.DecodeKeyed(0, body[4:n])
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		h.store.Write(name, k.Key, append([]byte(nil), k.Value...))
		body = body[n:]
	}
	page, err := h.store.Read(context.WithoutCancel(r.Context()), name, 0, 0, 0, 0)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_ = json.NewEncoder(w).Encode(map[string]int64{"offset": page.End - 1, "end": page.End})
}
