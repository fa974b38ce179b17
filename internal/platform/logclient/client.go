// Package logclient reaches the platform's log service over HTTP.
package logclient

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/platform"
)

const (
	// answerTimeout is how long an answer may take beyond the wait that was asked for. A connection
	// that is silent for longer is closed.
	answerTimeout = 10 * time.Second
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 2 * time.Second
	// maxReplyBytes bounds a reply, bytes.
	maxReplyBytes = 32 << 20
	// idleConnections kept: one for reads and one for appends of each of two streams.
	idleConnections = 4
)

// Client is a platform.Log over HTTP.
type Client struct {
	base string
	http *http.Client
}

var _ platform.Log = (*Client)(nil)

// Dialer connects to an IP:port.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// New returns a client of the log service at address, an IP:port. It does not connect.
func New(address string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return NewWithDialer(address, dialer.DialContext)
}

// NewWithDialer is New with connections that dial opens.
func NewWithDialer(address string, dial Dialer) *Client {
	transport := &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: idleConnections,
		DisableCompression:  true,
	}
	return &Client{base: "http://" + address + "/v1/streams/", http: &http.Client{Transport: transport}}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Append adds payload to the stream. Errors wrap platform.ErrUnavailable when the append certainly had
// no effect, else platform.ErrUnknownEffect.
func (c *Client) Append(ctx context.Context, stream string, payload []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+url.PathEscape(stream), bytes.NewReader(payload))
	if err != nil {
		return 0, errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	request.Header.Set("Content-Type", "application/x-protobuf")
	response, err := c.http.Do(request)
	if err != nil {
		return 0, appendError(err)
	}
	defer response.Body.Close()
	body, err := readBody(response)
	if response.StatusCode == http.StatusServiceUnavailable {
		return 0, errors.Wrap(platform.ErrUnavailable, "append answered 503")
	}
	if err != nil {
		return 0, errors.Wrap(platform.ErrUnknownEffect, err.Error())
	}
	if response.StatusCode != http.StatusOK {
		return 0, errors.Wrapf(platform.ErrUnknownEffect, "append answered %d", response.StatusCode)
	}
	reply := &apiv1.AppendReply{}
	if err := proto.Unmarshal(body, reply); err != nil {
		return 0, errors.Wrap(platform.ErrUnknownEffect, err.Error())
	}
	return reply.Offset, nil
}

// appendError tells a connection that never opened from one that broke with the append on its way.
func appendError(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	return errors.Wrap(platform.ErrUnknownEffect, err.Error())
}

// Read returns entries from the offset on, at most limit; with none there the service waits up to wait.
func (c *Client) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (*apiv1.ReadReply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+answerTimeout)
	defer cancel()
	query := url.Values{
		"from":    {strconv.FormatInt(from, 10)},
		"limit":   {strconv.Itoa(limit)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+url.PathEscape(stream)+"?"+query.Encode(), nil)
	if err != nil {
		return nil, errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	defer response.Body.Close()
	body, err := readBody(response)
	if err != nil {
		return nil, errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	reply := &apiv1.ReadReply{}
	if err := proto.Unmarshal(body, reply); err != nil {
		return nil, errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	switch response.StatusCode {
	case http.StatusOK:
		return reply, nil
	case http.StatusGone:
		return nil, &platform.TrimmedError{Stream: stream, From: from, Oldest: reply.Oldest}
	default:
		return nil, errors.Wrapf(platform.ErrUnavailable, "read answered %d", response.StatusCode)
	}
}

func readBody(response *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxReplyBytes {
		return nil, fmt.Errorf("reply is above %d bytes: ask for fewer entries", maxReplyBytes)
	}
	return body, nil
}
