package ledger

import (
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

// entryVersion is the version of the entries that this program writes.
const entryVersion = 1

// DecodeEntry decodes the payload of one append. The error wraps ErrUnknownRecord when the payload, its
// version or a record of it is not known to this program.
func DecodeEntry(payload []byte) (*apiv1.Entry, error) {
	entry := &apiv1.Entry{}
	if err := proto.Unmarshal(payload, entry); err != nil {
		return nil, errors.Wrapf(ErrUnknownRecord, "undecodable entry of %d bytes (%v)", len(payload), err)
	}
	if entry.Version == 0 || entry.Version > ReaderVersion {
		return nil, errors.Wrapf(ErrUnknownRecord, "entry version %d, known up to %d", entry.Version, ReaderVersion)
	}
	if entry.Author.GetInstance() == "" {
		return nil, errors.Wrap(ErrUnknownRecord, "entry without an author")
	}
	for _, record := range entry.Records {
		if record.Body == nil {
			return nil, errors.Wrapf(ErrUnknownRecord, "record %d of %s has an unknown kind", record.Sequence, entry.Author.Instance)
		}
	}
	return entry, nil
}

// encodeEntry encodes records of one author for one append.
func encodeEntry(author *apiv1.Author, records []*apiv1.Record) ([]byte, error) {
	entry := &apiv1.Entry{Author: author, Version: entryVersion, Records: records}
	payload, err := proto.MarshalOptions{Deterministic: true}.Marshal(entry)
	if err != nil {
		return nil, errors.Wrap(err, "encode entry")
	}
	return payload, nil
}
