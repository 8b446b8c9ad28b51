package config

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"os"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/link"
)

// Process holds the settings common to every process. The settings structs of
// the processes embed it.
type Process struct {
	Host       string `ini:"process.host" required:"true" max:"128" help:"Name of the host, unique in the system."`
	DataCentre string `ini:"process.data_centre" required:"true" max:"128" help:"Data centre of the host."`
	Region     string `ini:"process.region" default:"default" max:"128" help:"Region of the data centre."`
	LogLevel   string `ini:"log.level" default:"info" oneof:"debug,info,warn,error" help:"Lowest level that is logged."`
}

// Security holds the settings that secure the sessions between processes.
type Security struct {
	KeyID         string `ini:"security.key_id" max:"64" help:"Id of the shared key used to open sessions; empty turns shared keys off."`
	Key           string `ini:"security.key" format:"hex" help:"Shared key, at least 16 bytes in hexadecimal."`
	PreviousKeyID string `ini:"security.previous_key_id" max:"64" help:"Id of a key that is still accepted during a rotation."`
	PreviousKey   string `ini:"security.previous_key" format:"hex" help:"The key still accepted during a rotation."`
	CertFile      string `ini:"security.cert_file" format:"path" help:"PEM certificate of this process; turns mutual TLS on."`
	KeyFile       string `ini:"security.key_file" format:"path" help:"PEM private key of the certificate."`
	CAFile        string `ini:"security.ca_file" format:"path" help:"PEM certificates that sign the peers' certificates."`
}

// LinkOptions returns the session options for the settings. It reads the
// certificate files.
func (s Security) LinkOptions(id link.Identity) (link.Options, error) {
	keys, err := s.keyring()
	if err != nil {
		return link.Options{}, err
	}
	conf, err := s.tlsConfig()
	if err != nil {
		return link.Options{}, err
	}
	return link.Options{Identity: id, Keys: keys, TLS: conf}, nil
}

func (s Security) keyring() (*link.Keyring, error) {
	if s.KeyID == "" && s.Key == "" {
		return nil, nil
	}
	current, err := decodeKey(s.KeyID, s.Key, "security.key")
	if err != nil {
		return nil, err
	}
	ring := &link.Keyring{Current: current}
	if s.PreviousKeyID != "" {
		previous, err := decodeKey(s.PreviousKeyID, s.PreviousKey, "security.previous_key")
		if err != nil {
			return nil, err
		}
		ring.Accepted = append(ring.Accepted, previous)
	}
	return ring, ring.Validate()
}

func decodeKey(id, text, field string) (link.Key, error) {
	secret, err := hex.DecodeString(text)
	if err != nil {
		return link.Key{}, fault.Wrap(err, fault.Invalid, "shared key is not hexadecimal").WithField(field)
	}
	return link.Key{ID: id, Secret: secret}, nil
}

func (s Security) tlsConfig() (*tls.Config, error) {
	if s.CertFile == "" {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(s.CertFile, s.KeyFile)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "load certificate").WithField("security.cert_file")
	}
	caPEM, err := os.ReadFile(s.CAFile)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "read certificate authorities").WithField("security.ca_file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(caPEM) {
		return nil, fault.New(fault.Invalid, "no certificate found").WithField("security.ca_file")
	}
	return mutualTLS(cert, pool), nil
}

// mutualTLS returns a configuration that verifies the certificate chain of the
// peer against the pool but not the name in it, because processes are reached by
// IP address and the certificate authority signs only certificates of this
// system.
func mutualTLS(cert tls.Certificate, pool *x509.CertPool) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		MinVersion:   tls.VersionTLS13,
		// VerifyPeerCertificate is not called for resumed TLS sessions.
		SessionTicketsDisabled: true,
		ClientAuth:             tls.RequireAndVerifyClientCert,
		ClientCAs:              pool,
		InsecureSkipVerify:     true, // VerifyPeerCertificate verifies the chain instead
		VerifyPeerCertificate:  verifyChain(pool),
	}
}

func verifyChain(pool *x509.CertPool) func([][]byte, [][]*x509.Certificate) error {
	return func(raw [][]byte, _ [][]*x509.Certificate) error {
		if len(raw) == 0 {
			return fault.New(fault.Unauthenticated, "peer sent no certificate")
		}
		leaf, err := x509.ParseCertificate(raw[0])
		if err != nil {
			return fault.Wrap(err, fault.Unauthenticated, "parse peer certificate")
		}
		intermediates := x509.NewCertPool()
		for _, der := range raw[1:] {
			if c, err := x509.ParseCertificate(der); err == nil {
				intermediates.AddCert(c)
			}
		}
		_, err = leaf.Verify(x509.VerifyOptions{
			Roots:         pool,
			Intermediates: intermediates,
			KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
		})
		if err != nil {
			return fault.Wrap(err, fault.Unauthenticated, "verify peer certificate")
		}
		return nil
	}
}
