package instance

import "net/http"

// workerTransport carries the calls to workers.
func workerTransport() http.RoundTripper {
	return http.DefaultTransport
}
