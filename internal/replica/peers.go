package replica

import (
	"crypto/sha256"
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/storelog"
)

// maxPeers limits the peers that are kept. Deployments have some 40 instances; names that are never used again are deleted late.
const maxPeers = 512

// Peer is how an instance is reached by the others.
type Peer struct {
	Name, Address, DataCentre string
	// Certificates are the hashes of its valid certificates.
	Certificates []CertificateHash
	// ReceivedAt is when this instance received the record, on the monotonic clock.
	ReceivedAt time.Time
}

// CertificateHash is the SHA-256 of a certificate.
type CertificateHash [sha256.Size]byte

// PeerRecord returns the record that tells the other instances how to reach an instance.
func PeerRecord(peer Peer) (storelog.Record, error) {
	record := &storev1.Peer{Address: peer.Address, DataCentre: peer.DataCentre}
	for _, hash := range peer.Certificates {
		record.CertificateSha256 = append(record.CertificateSha256, hash[:])
	}
	return encode(peerPrefix+peer.Name, record)
}

// PeerTombstone returns the record that deletes an instance's record of how to reach it.
func PeerTombstone(name string) storelog.Record {
	return storelog.Record{Key: peerPrefix + name}
}

// Peers returns the instances that have a record of how to reach them, in no particular order.
func (r *Replica) Peers() []Peer {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return slices.Collect(maps.Values(r.peers))
}

// Peer returns how to reach an instance; false if it has no record.
func (r *Replica) Peer(name string) (Peer, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	peer, known := r.peers[name]
	return peer, known
}

// HasCertificate reports whether an instance has the certificate.
func (r *Replica) HasCertificate(hash CertificateHash) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, peer := range r.peers {
		if slices.Contains(peer.Certificates, hash) {
			return true
		}
	}
	return false
}

func (r *Replica) applyPeer(name string, value []byte) error {
	delete(r.peers, name)
	if len(value) == 0 {
		return nil
	}
	record := &storev1.Peer{}
	if err := proto.Unmarshal(value, record); err != nil {
		return errors.Wrap(err, "decode peer")
	}
	peer := Peer{Name: name, Address: record.GetAddress(), DataCentre: record.GetDataCentre(), ReceivedAt: time.Now()}
	for _, raw := range record.GetCertificateSha256() {
		if len(raw) != sha256.Size {
			return errors.New("the hash of a peer's certificate has not 32 bytes: replace the instance by one of the latest version")
		}
		peer.Certificates = append(peer.Certificates, CertificateHash(raw))
	}
	if len(r.peers) >= maxPeers {
		oldest := slices.MinFunc(slices.Collect(maps.Values(r.peers)), func(a, b Peer) int { return a.ReceivedAt.Compare(b.ReceivedAt) })
		delete(r.peers, oldest.Name)
	}
	r.peers[name] = peer
	return nil
}

// keepOnlyPeers forgets the peers whose records aren't among the keys.
func (r *Replica) keepOnlyPeers(keys map[string]bool) {
	for name := range r.peers {
		if key := peerPrefix + name; !keys[key] {
			delete(r.peers, name)
			delete(r.offsets, key)
		}
	}
}
