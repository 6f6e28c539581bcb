package index

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"

	"github.com/pkg/errors"
)

// StreamKey identifies a client's stream in a segment. Clients choose the IDs of their
// attempts, so it is a hash of the ID.
type StreamKey [16]byte

// StreamKeyOf returns the key of the stream that an attempt began.
func StreamKeyOf(attempt string) StreamKey {
	sum := sha256.Sum256([]byte(attempt))
	return StreamKey(sum[:len(StreamKey{})])
}

// Segment tells which release began each of some streams.
type Segment map[StreamKey]Release

// segment is the JSON form of a [Segment].
type segment struct {
	Releases []segmentRelease `json:"releases"`
}

// segmentRelease lists the streams that a release began.
type segmentRelease struct {
	Service  string `json:"service"`
	Software string `json:"software"`
	Streams  string `json:"streams"` // their keys, one after the other, in base64
}

// EncodeSegment returns the value of the record of a segment.
func EncodeSegment(s Segment) ([]byte, error) {
	keys := make(map[Release][]byte)
	for key, r := range s {
		keys[r] = append(keys[r], key[:]...)
	}
	var w segment
	for r, b := range keys {
		w.Releases = append(w.Releases, segmentRelease{r.Service, r.Software, base64.StdEncoding.EncodeToString(b)})
	}
	b, err := json.Marshal(w)
	return b, errors.Wrap(err, "segment of origins")
}

// DecodeSegment parses the value of the record of a segment.
func DecodeSegment(value []byte) (Segment, error) {
	var w segment
	if err := json.Unmarshal(value, &w); err != nil {
		return nil, errors.Wrap(err, "segment of origins")
	}
	out := make(Segment)
	for _, r := range w.Releases {
		b, err := base64.StdEncoding.DecodeString(r.Streams)
		if err != nil {
			return nil, errors.Wrap(err, "segment of origins")
		}
		const size = len(StreamKey{})
		if len(b)%size != 0 {
			return nil, errors.Errorf("segment of origins: %d bytes of keys, a multiple of %d is due", len(b), size)
		}
		for ; len(b) > 0; b = b[size:] {
			out[StreamKey(b[:size])] = Release{Service: r.Service, Software: r.Software}
		}
	}
	return out, nil
}
