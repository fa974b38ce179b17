package peer

import (
	"bytes"
	"crypto"
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/go-faster/errors"
)

const (
	// protocol is the ALPN name of the peer protocol.
	protocol = "dotterelgauge-peer/1"
	// serverName is the name in every instance's certificate.
	serverName = "dotterelgauge"
	// certificateLife is longer than any process lives.
	certificateLife = 10 * 365 * 24 * time.Hour
)

// errForeignKey reports a peer that does not hold the shared secret.
var errForeignKey = errors.New("the peer's key does not belong to peers.secret: give all instances the same secret")

// tlsConfig returns the TLS settings of both sides of a peer connection. All instances derive one key
// from the shared secret, and each accepts only a certificate of that key.
func tlsConfig(secret string) (*tls.Config, error) {
	seed, err := hkdf.Key(sha256.New, []byte(secret), nil, protocol, ed25519.SeedSize)
	if err != nil {
		return nil, errors.Wrap(err, "derive the peer key")
	}
	key := ed25519.NewKeyFromSeed(seed)
	certificate, err := selfSigned(key)
	if err != nil {
		return nil, err
	}
	public, ok := key.Public().(ed25519.PublicKey)
	if !ok {
		return nil, errForeignKey
	}
	return &tls.Config{
		Certificates:          []tls.Certificate{{Certificate: [][]byte{certificate}, PrivateKey: crypto.Signer(key)}},
		NextProtos:            []string{protocol},
		ServerName:            serverName,
		MinVersion:            tls.VersionTLS13,
		ClientAuth:            tls.RequireAnyClientCert,
		InsecureSkipVerify:    true, //nolint:gosec // VerifyPeerCertificate accepts the shared key only.
		VerifyPeerCertificate: verifyKey(public),
	}, nil
}

func selfSigned(key ed25519.PrivateKey) ([]byte, error) {
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: serverName},
		DNSNames:     []string{serverName},
		NotBefore:    now.Add(-certificateLife),
		NotAfter:     now.Add(certificateLife),
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, errors.Wrap(err, "create the peer certificate")
	}
	return certificate, nil
}

func verifyKey(want ed25519.PublicKey) func([][]byte, [][]*x509.Certificate) error {
	return func(raw [][]byte, _ [][]*x509.Certificate) error {
		if len(raw) != 1 {
			return errForeignKey
		}
		certificate, err := x509.ParseCertificate(raw[0])
		if err != nil {
			return errors.Wrap(err, "parse the peer certificate")
		}
		got, ok := certificate.PublicKey.(ed25519.PublicKey)
		if !ok || !bytes.Equal(got, want) {
			return errForeignKey
		}
		return certificate.CheckSignature(certificate.SignatureAlgorithm, certificate.RawTBSCertificate, certificate.Signature)
	}
}
