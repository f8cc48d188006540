package operators

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"log/slog"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// The roles of certificates, stored in the subject's organizational unit.
const (
	Viewer   = "viewer"   // may query
	Operator = "operator" // may also make changes
	NodeRole = "node"     // a controller
)

// identity returns a caller's name and role from a verified certificate.
func identity(certificate *x509.Certificate) (name, role string, err error) {
	if n := len(certificate.Subject.OrganizationalUnit); n != 1 || certificate.Subject.CommonName == "" {
		return "", "", fmt.Errorf("the certificate of %q names no role: make it with marlwood keys", certificate.Subject.CommonName)
	}
	role = certificate.Subject.OrganizationalUnit[0]
	if role != Viewer && role != Operator {
		return "", "", fmt.Errorf("the certificate of %q has the role %q, which may not ask", certificate.Subject.CommonName, role)
	}
	return certificate.Subject.CommonName, role, nil
}

// Keys holds a certificate authority's certificate, and a certificate with its key. It reads them
// from PEM files and reloads the files when they change. It is safe for concurrent use.
type Keys struct {
	ca, cert, key string
	log           *slog.Logger

	mu          sync.Mutex
	checkedAt   time.Time
	modTimes    [3]time.Time
	authorities *x509.CertPool
	certificate *tls.Certificate
	warnedAt    time.Time
}

// The interval of checks for changed files, and the time and interval of warnings before a certificate expires.
const (
	checkInterval    = time.Second
	warnBeforeExpiry = 14 * 24 * time.Hour
	warnInterval     = time.Hour
)

// OpenKeys reads the files. It returns an error if any of them is unusable.
func OpenKeys(ca, cert, key string, log *slog.Logger) (*Keys, error) {
	k := &Keys{ca: ca, cert: cert, key: key, log: log}
	if err := k.load(); err != nil {
		return nil, fmt.Errorf("operators: %w", err)
	}
	return k, nil
}

// load reads the files. If one of them is unusable, all loaded certificates stay in force.
func (k *Keys) load() error {
	text, err := os.ReadFile(k.ca)
	if err != nil {
		return err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return fmt.Errorf("%s: no certificate in it", k.ca)
	}
	pair, err := tls.LoadX509KeyPair(k.cert, k.key)
	if err != nil {
		return fmt.Errorf("%s, %s: %w", k.cert, k.key, err)
	}
	if pair.Leaf, err = x509.ParseCertificate(pair.Certificate[0]); err != nil {
		return fmt.Errorf("%s: %w", k.cert, err)
	}
	k.authorities, k.certificate, k.modTimes = pool, &pair, k.readModTimes()
	return nil
}

// readModTimes returns the modification times of the three files.
func (k *Keys) readModTimes() (out [3]time.Time) {
	for i, path := range []string{k.ca, k.cert, k.key} {
		if info, err := os.Stat(path); err == nil {
			out[i] = info.ModTime()
		}
	}
	return out
}

// current returns the certificates in force. It reloads changed files. If they are unusable, it
// logs an error and the certificates loaded before stay in force.
func (k *Keys) current() (*x509.CertPool, *tls.Certificate) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if now.Sub(k.checkedAt) >= checkInterval {
		k.checkedAt = now
		if stamps := k.readModTimes(); stamps != k.modTimes {
			if err := k.load(); err != nil {
				k.log.Error("reloading the operators' keys failed; the previous keys stay in force", "err", err)
				k.modTimes = stamps // no retry until they change once more
			} else {
				k.log.Info("operators' keys reloaded", "cert", k.cert, "until", k.certificate.Leaf.NotAfter)
			}
		}
		if left := k.certificate.Leaf.NotAfter.Sub(now); left < warnBeforeExpiry && now.Sub(k.warnedAt) >= warnInterval {
			k.warnedAt = now
			k.log.Warn("a certificate expires soon: make another with marlwood keys", "cert", k.cert, "left", left.Round(time.Minute))
		}
	}
	return k.authorities, k.certificate
}

// Server returns the TLS configuration of a controller. Clients must present a certificate that
// the authority signed.
func (k *Keys) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pool, pair := k.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*pair},
				ClientCAs:    pool,
				ClientAuth:   tls.RequireAndVerifyClientCert,
				NextProtos:   []string{"h2"},
			}, nil
		},
	}
}

// Client returns the TLS configuration of an operator. The server's certificate must be signed by
// the authority and have the role node; its address is not checked.
//
// Guard: a certificate of the same authority that was made for a person must not be accepted
// as a controller's (TestRoles).
func (k *Keys) Client() *tls.Config {
	pool, pair := k.current()
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{*pair},
		InsecureSkipVerify: true, // VerifyConnection verifies the certificate but not the address
		VerifyConnection:   func(state tls.ConnectionState) error { return verifyController(state, pool) },
	}
}

// verifyController checks that a server's certificate is a controller's.
func verifyController(state tls.ConnectionState, authorities *x509.CertPool) error {
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	leaf := state.PeerCertificates[0]
	options := x509.VerifyOptions{
		Roots:         authorities,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	if _, err := leaf.Verify(options); err != nil {
		return err
	}
	if len(leaf.Subject.OrganizationalUnit) != 1 || leaf.Subject.OrganizationalUnit[0] != NodeRole {
		return fmt.Errorf("the certificate of %q is not a controller's", leaf.Subject.CommonName)
	}
	return nil
}

// ErrExists reports that a file would be overwritten.
var ErrExists = errors.New("is there already")

// Names of the authority's files in a directory of keys; other files are named after their
// subject.
const (
	caCert = "ca.pem"
	caKey  = "ca-key.pem"
)

// MakeCA creates a certificate authority in a directory, which it creates if needed. It does not
// overwrite existing files.
func MakeCA(dir, name string, validity time.Duration) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	certificate := certificateTemplate(name, "authority", validity)
	certificate.IsCA, certificate.BasicConstraintsValid, certificate.MaxPathLenZero = true, true, true
	certificate.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature
	return writePair(dir, "ca", certificate, certificate, &key.PublicKey, key, key)
}

// MakeCertificate creates a certificate and its key for a name with a role, signed by the
// authority in the same directory. hosts are the addresses and host names of a controller.
func MakeCertificate(dir, name, role string, hosts []string, validity time.Duration) error {
	pair, err := tls.LoadX509KeyPair(filepath.Join(dir, caCert), filepath.Join(dir, caKey))
	if err != nil {
		return fmt.Errorf("the authority in %s: %w", dir, err)
	}
	authority, err := x509.ParseCertificate(pair.Certificate[0])
	if err != nil {
		return fmt.Errorf("%s: %w", filepath.Join(dir, caCert), err)
	}
	if remaining := time.Until(authority.NotAfter); remaining < validity {
		return fmt.Errorf("the authority in %s ends in %v, before the certificate would", dir, remaining.Round(time.Hour))
	}
	signer, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return fmt.Errorf("%s: not an ECDSA key", filepath.Join(dir, caKey))
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	certificate := certificateTemplate(name, role, validity)
	certificate.KeyUsage = x509.KeyUsageDigitalSignature
	certificate.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	if role == NodeRole {
		certificate.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}
		for _, host := range hosts {
			if ip := net.ParseIP(host); ip != nil {
				certificate.IPAddresses = append(certificate.IPAddresses, ip)
			} else {
				certificate.DNSNames = append(certificate.DNSNames, host)
			}
		}
	}
	return writePair(dir, name, certificate, authority, &key.PublicKey, signer, key)
}

// certificateTemplate returns a certificate for a name with a role, with no key usage set.
func certificateTemplate(name, role string, validity time.Duration) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120)) // never fails
	return &x509.Certificate{SerialNumber: serial, Subject: pkix.Name{CommonName: name, OrganizationalUnit: []string{role}},
		NotBefore: time.Now().Add(-5 * time.Minute), NotAfter: time.Now().Add(validity)}
}

// writePair signs a certificate and writes it and its key to a directory.
func writePair(dir, name string, certificate, parent *x509.Certificate, public *ecdsa.PublicKey, signer, key *ecdsa.PrivateKey) error {
	der, err := x509.CreateCertificate(rand.Reader, certificate, parent, public, signer)
	if err != nil {
		return err
	}
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	if err := writeNewFile(filepath.Join(dir, name+"-key.pem"), "PRIVATE KEY", secret, 0o600); err != nil {
		return err
	}
	return writeNewFile(filepath.Join(dir, name+".pem"), "CERTIFICATE", der, 0o644)
}

// writeNewFile writes a PEM file that must not exist yet.
func writeNewFile(path, kind string, der []byte, mode os.FileMode) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if errors.Is(err, os.ErrExist) {
		return fmt.Errorf("%s %w", path, ErrExists)
	}
	if err != nil {
		return err
	}
	return errors.Join(pem.Encode(file, &pem.Block{Type: kind, Bytes: der}), file.Sync(), file.Close())
}
