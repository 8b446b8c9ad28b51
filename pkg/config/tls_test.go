package config

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/link"
	"github.com/plantainstair/plantainstair/pkg/wire"
)

// authority is a certificate authority that writes certificates to files.
type authority struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	a := &authority{t: t, dir: t.TempDir(), key: key}
	template := a.template()
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	a.cert, err = x509.ParseCertificate(der)
	assert.NilError(t, err)
	a.write("ca.pem", "CERTIFICATE", der)
	return a
}

func (a *authority) template() *x509.Certificate {
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	assert.NilError(a.t, err)
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: "test"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
}

func (a *authority) write(name, kind string, der []byte) string {
	path := filepath.Join(a.dir, name)
	assert.NilError(a.t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return path
}

// issue returns the settings of a process with a new certificate.
func (a *authority) issue(name string) Security {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(a.t, err)
	der, err := x509.CreateCertificate(rand.Reader, a.template(), a.cert, &key.PublicKey, a.key)
	assert.NilError(a.t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(a.t, err)
	return Security{
		CertFile: a.write(name+".pem", "CERTIFICATE", der),
		KeyFile:  a.write(name+".key", "PRIVATE KEY", keyDER),
		CAFile:   filepath.Join(a.dir, "ca.pem"),
	}
}

func dialWith(t *testing.T, server, client Security) error {
	t.Helper()
	serverOpts, err := server.LinkOptions(link.Identity{Host: "server"})
	assert.NilError(t, err)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := link.NewServer(ln, serverOpts, func(_ link.Identity, st *wire.Stream) { _ = st.Close() }, nil)
	defer s.Close()
	clientOpts, err := client.LinkOptions(link.Identity{Host: "client"})
	assert.NilError(t, err)
	session, err := link.Dial(context.Background(), s.Address(), clientOpts)
	if err != nil {
		return err
	}
	return session.Close()
}

// Guards against sessions with processes that have no certificate or one signed
// by another authority, and against a refusal without the kind Unauthenticated.
func TestSecurity_CertificateOfAnotherAuthorityIsRefused(t *testing.T) {
	trustedCA, otherCA := newAuthority(t), newAuthority(t)
	assert.NilError(t, dialWith(t, trustedCA.issue("a"), trustedCA.issue("b")))
	for name, err := range map[string]error{
		"server of another authority": dialWith(t, otherCA.issue("a"), trustedCA.issue("b")),
		"client of another authority": dialWith(t, trustedCA.issue("c"), withTrustedCA(otherCA.issue("d"), trustedCA)),
		"client without TLS":          dialWith(t, trustedCA.issue("e"), Security{}),
	} {
		assert.Assert(t, err != nil, name)
		t.Logf("%s: %v", name, err)
	}
	err := dialWith(t, trustedCA.issue("c"), withTrustedCA(otherCA.issue("d"), trustedCA))
	assert.Assert(t, fault.Is(err, fault.Unauthenticated), "%v", err)
}

// withTrustedCA returns s with the CA file of another authority: the process
// accepts certificates of that authority but presents one of its own.
func withTrustedCA(s Security, trustedCA *authority) Security {
	s.CAFile = filepath.Join(trustedCA.dir, "ca.pem")
	return s
}
