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

// magic is the first thing sent on a connection. One byte with the protocol
// version follows.
var magic = []byte("jujuberamp/")

// handshake makes both sides prove that they have the shared key. Each side
// sends its protocol version and a random nonce, and answers the nonce of the
// other side with a digest that is keyed with the shared key. Client and server
// run the same steps. A peer that returns this side's nonce is refused, because
// it could otherwise pass by sending back the proof that it received.
func handshake(conn net.Conn, key []byte) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return errors.Wrap(err, "set deadline")
	}
	ownNonce := make([]byte, nonceBytes)
	_, _ = rand.Read(ownNonce)
	if _, err := conn.Write(append(append(bytes.Clone(magic), Protocol), ownNonce...)); err != nil {
		return errors.Wrap(err, "send nonce")
	}
	peerNonce, err := readNonce(conn)
	if err != nil {
		return err
	}
	if hmac.Equal(ownNonce, peerNonce) {
		return fault.New(fault.BadPeer, "peer reflected the nonce")
	}
	if _, err := conn.Write(computeProof(key, peerNonce, ownNonce)); err != nil {
		return errors.Wrap(err, "send proof")
	}
	proof := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, proof); err != nil {
		return errors.Wrap(err, "read proof: the peer may use another inner key")
	}
	if !hmac.Equal(proof, computeProof(key, ownNonce, peerNonce)) {
		return fault.New(fault.BadPeer, "peer does not hold the inner key")
	}
	return errors.Wrap(conn.SetDeadline(time.Time{}), "clear deadline")
}

// readNonce reads the magic, the protocol version and the nonce of the peer. It
// refuses a peer with another protocol version.
func readNonce(r io.Reader) ([]byte, error) {
	head := make([]byte, len(magic)+1)
	if _, err := io.ReadFull(r, head); err != nil {
		return nil, errors.Wrap(err, "read magic and version")
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

// computeProof returns the digest with which a side proves that it has the key.
// The digest covers the nonce of the other side (challenge) and the prover's own
// nonce, in this order.
func computeProof(key, challenge, proverNonce []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(challenge)
	h.Write(proverNonce)
	return h.Sum(nil)
}
