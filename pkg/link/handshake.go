package link

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const (
	handshakeMaxFrameBytes = 4 << 10
	nonceBytes             = 32
	minKeyBytes            = 16
)

// Key is a shared secret. Peers refer to it by its ID.
type Key struct {
	ID     string
	Secret []byte
}

// Keyring holds the key used to open sessions and the keys accepted from
// peers. Rotation adds the new key to Accepted everywhere, then makes it
// Current, then drops the old one.
type Keyring struct {
	Current  Key
	Accepted []Key
}

// Validate returns an error if a key has no id or a secret that is too short.
func (k *Keyring) Validate() error {
	for _, key := range append([]Key{k.Current}, k.Accepted...) {
		if key.ID == "" {
			return fault.New(fault.Invalid, "shared key has no id").WithField("key_id")
		}
		if len(key.Secret) < minKeyBytes {
			return fault.New(fault.Invalid, "shared key %q has fewer than %d bytes", key.ID, minKeyBytes).WithField("key")
		}
	}
	return nil
}

func (k *Keyring) find(id string) (Key, bool) {
	if k.Current.ID == id {
		return k.Current, true
	}
	for _, key := range k.Accepted {
		if key.ID == id {
			return key, true
		}
	}
	return Key{}, false
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce) // never fails: crypto/rand aborts the process instead
	return nonce
}

// transcriptMAC returns a MAC over both handshake messages, so that identities
// and the version cannot be altered in transit. The side makes the MACs of
// client and server differ.
func transcriptMAC(key Key, side string, hello *wirepb.Hello, reply *wirepb.HelloReply) ([]byte, error) {
	mac := hmac.New(sha256.New, key.Secret)
	mac.Write([]byte(side))
	unsigned := proto.Clone(reply).(*wirepb.HelloReply)
	unsigned.Mac = nil
	for _, m := range []proto.Message{hello, unsigned} {
		b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
		if err != nil {
			return nil, fault.Wrap(err, fault.Protocol, "encode handshake")
		}
		mac.Write(b)
	}
	return mac.Sum(nil), nil
}

func clientHandshake(s *wire.Stream, opts Options) (Identity, uint32, error) {
	hello := &wirepb.Hello{
		MinVersion:  MinVersion,
		MaxVersion:  MaxVersion,
		Role:        opts.Identity.Role,
		Host:        opts.Identity.Host,
		DataCentre:  opts.Identity.DataCentre,
		Incarnation: opts.Identity.Incarnation,
		Nonce:       newNonce(),
	}
	if opts.Keys != nil {
		hello.KeyId = opts.Keys.Current.ID
	}
	if err := s.Write(&wirepb.Frame{Body: &wirepb.Frame_Hello{Hello: hello}}); err != nil {
		return Identity{}, 0, err
	}
	f, err := s.Read()
	if err != nil {
		return Identity{}, 0, handshakeReadError(err)
	}
	if e := f.GetError(); e != nil {
		return Identity{}, 0, fault.FromWire(e)
	}
	reply := f.GetHelloReply()
	if reply == nil {
		return Identity{}, 0, fault.New(fault.Protocol, "peer sent another message in place of the handshake reply")
	}
	confirm, err := verifyServer(hello, reply, opts.Keys)
	if err != nil {
		return Identity{}, 0, err
	}
	if err := s.Write(&wirepb.Frame{Body: &wirepb.Frame_HelloConfirm{HelloConfirm: confirm}}); err != nil {
		return Identity{}, 0, err
	}
	peer := Identity{Role: reply.Role, Host: reply.Host, DataCentre: reply.DataCentre, Incarnation: reply.Incarnation}
	return peer, reply.Version, nil
}

// handshakeReadError classifies a failed read of the handshake reply. In TLS 1.3
// a client learns only on its first read that the server rejected its
// certificate.
func handshakeReadError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "remote error" {
		return fault.Wrap(err, fault.Unauthenticated, "peer rejected the certificate")
	}
	if errors.Is(err, io.EOF) {
		return fault.Wrap(err, fault.Protocol, "peer closed the connection; use TLS on both sides or on neither")
	}
	return fault.Wrap(err, fault.Protocol, "read handshake reply")
}

// verifyServer checks the version and the MAC of reply and returns the client's
// confirmation.
func verifyServer(hello *wirepb.Hello, reply *wirepb.HelloReply, keys *Keyring) (*wirepb.HelloConfirm, error) {
	if reply.Version < MinVersion || reply.Version > MaxVersion {
		return nil, fault.New(fault.Protocol, "peer selected protocol version %d; this build supports %d to %d",
			reply.Version, MinVersion, MaxVersion)
	}
	if keys == nil {
		return &wirepb.HelloConfirm{}, nil
	}
	want, err := transcriptMAC(keys.Current, "server", hello, reply)
	if err != nil {
		return nil, err
	}
	if !hmac.Equal(want, reply.Mac) {
		return nil, fault.New(fault.Unauthenticated, "peer does not hold shared key %q", keys.Current.ID)
	}
	mac, err := transcriptMAC(keys.Current, "client", hello, reply)
	return &wirepb.HelloConfirm{Mac: mac}, err
}

func serverHandshake(s *wire.Stream, opts Options) (Identity, uint32, error) {
	f, err := s.Read()
	if err != nil {
		return Identity{}, 0, err
	}
	peer, version, err := replyToHello(s, f.GetHello(), opts)
	if err != nil {
		_ = s.WriteError(err)
		return Identity{}, 0, err
	}
	return peer, version, nil
}

func replyToHello(s *wire.Stream, hello *wirepb.Hello, opts Options) (Identity, uint32, error) {
	none := Identity{}
	if hello == nil {
		return none, 0, fault.New(fault.Protocol, "first message is not a handshake")
	}
	version := min(uint32(MaxVersion), hello.MaxVersion)
	if version < MinVersion || version < hello.MinVersion {
		return none, 0, fault.New(fault.Protocol, "no common protocol version: peer supports %d to %d, this build %d to %d",
			hello.MinVersion, hello.MaxVersion, MinVersion, MaxVersion)
	}
	reply := &wirepb.HelloReply{
		Version:     version,
		Role:        opts.Identity.Role,
		Host:        opts.Identity.Host,
		DataCentre:  opts.Identity.DataCentre,
		Incarnation: opts.Identity.Incarnation,
		Nonce:       newNonce(),
	}
	key, err := selectKey(hello, opts.Keys)
	if err != nil {
		return none, 0, err
	}
	if opts.Keys != nil {
		if reply.Mac, err = transcriptMAC(key, "server", hello, reply); err != nil {
			return none, 0, err
		}
	}
	if err := s.Write(&wirepb.Frame{Body: &wirepb.Frame_HelloReply{HelloReply: reply}}); err != nil {
		return none, 0, err
	}
	f, err := s.Read()
	if err != nil {
		return none, 0, err
	}
	confirm := f.GetHelloConfirm()
	if confirm == nil {
		return none, 0, fault.New(fault.Protocol, "peer did not confirm the handshake")
	}
	if opts.Keys != nil {
		want, err := transcriptMAC(key, "client", hello, reply)
		if err != nil {
			return none, 0, err
		}
		if !hmac.Equal(want, confirm.Mac) {
			return none, 0, fault.New(fault.Unauthenticated, "peer does not hold shared key %q", key.ID)
		}
	}
	peer := Identity{Role: hello.Role, Host: hello.Host, DataCentre: hello.DataCentre, Incarnation: hello.Incarnation}
	return peer, version, nil
}

// selectKey returns the key that the client named. Without a keyring, it returns
// an empty key.
func selectKey(hello *wirepb.Hello, keys *Keyring) (Key, error) {
	if keys == nil {
		return Key{}, nil
	}
	if hello.KeyId == "" {
		return Key{}, fault.New(fault.Unauthenticated, "a shared key is required and the peer sent no key id")
	}
	key, ok := keys.find(hello.KeyId)
	if !ok {
		return Key{}, fault.New(fault.Unauthenticated, "shared key %q is not in the keyring", hello.KeyId)
	}
	return key, nil
}
