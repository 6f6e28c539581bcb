package wire

import (
	"bytes"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/fault"
)

const (
	nonceBytes       = 32
	handshakeTimeout = 2 * time.Second
)

// magic opens each connection; the protocol version follows it in one byte.
var magic = []byte("jujuberamp/")

// handshake proves the key in both directions: each side sends its protocol
// version and a nonce, and answers the other's nonce with a keyed digest. Both
// sides run the same steps; a nonce equal to the own one is refused, so that a
// proof can't be reflected.
func handshake(conn net.Conn, key []byte) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return errors.Wrap(err, "set deadline")
	}
	mine := make([]byte, nonceBytes)
	_, _ = rand.Read(mine)
	if _, err := conn.Write(append(append(bytes.Clone(magic), Protocol), mine...)); err != nil {
		return errors.Wrap(err, "send nonce")
	}
	theirs, err := readNonce(conn)
	if err != nil {
		return err
	}
	if hmac.Equal(mine, theirs) {
		return fault.New(fault.BadPeer, "peer reflected the nonce")
	}
	if _, err := conn.Write(prove(key, theirs, mine)); err != nil {
		return errors.Wrap(err, "send proof")
	}
	proof := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, proof); err != nil {
		return errors.Wrap(err, "read proof; the peer may hold another inner key")
	}
	if !hmac.Equal(proof, prove(key, mine, theirs)) {
		return fault.New(fault.BadPeer, "peer does not hold the inner key")
	}
	return errors.Wrap(conn.SetDeadline(time.Time{}), "clear deadline")
}

// readNonce reads the opening of the peer and refuses another protocol.
func readNonce(r io.Reader) ([]byte, error) {
	head := make([]byte, len(magic)+1)
	if _, err := io.ReadFull(r, head); err != nil {
		return nil, errors.Wrap(err, "read opening")
	}
	if !bytes.HasPrefix(head, magic) {
		return nil, fault.New(fault.BadPeer, "peer does not speak the inner protocol; check its address")
	}
	if v := head[len(magic)]; v != Protocol {
		return nil, fault.New(fault.BadPeer, fmt.Sprintf("peer speaks version %d of the inner protocol, this node version %d", v, Protocol))
	}
	nonce := make([]byte, nonceBytes)
	_, err := io.ReadFull(r, nonce)
	return nonce, errors.Wrap(err, "read nonce")
}

func prove(key, nonce, own []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(nonce)
	h.Write(own)
	return h.Sum(nil)
}
