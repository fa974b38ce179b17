package site

import (
	"io"
	"net"
	"testing"
	"time"
)

// quiet is how long a test listens to a connection that should stay silent.
const quiet = 50 * time.Millisecond

// echo serves connections that send back what they get until the test ends.
func echo(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(connection, connection) }()
		}
	}()
	return listener.Addr().String()
}

// dial opens a connection through the link and reports whether it works.
func dial(t *testing.T, l *streamLink) (net.Conn, bool) {
	t.Helper()
	connection, err := net.Dial("tcp", l.listener.Addr().String())
	if err != nil {
		return nil, false
	}
	t.Cleanup(func() { _ = connection.Close() })
	return connection, echoes(connection)
}

func echoes(connection net.Conn) bool {
	_, _ = connection.Write([]byte("x"))
	_, err := connection.Read(make([]byte, 1))
	return err == nil
}

func TestLinkGoesSilentAndComesBack(t *testing.T) {
	opened, err := newLink(ToWorker, "127.0.0.1:0", echo(t))
	if err != nil {
		t.Fatal(err)
	}
	l, isStream := opened.(*streamLink)
	if !isStream {
		t.Fatalf("a link to a worker is a %T", opened)
	}
	l.address = l.listener.Addr().String()
	old, works := dial(t, l)
	if !works {
		t.Fatal("the link does not forward")
	}
	l.silence()
	_ = old.SetReadDeadline(time.Now().Add(quiet))
	if echoes(old) {
		t.Error("a connection opened before the silence is answered")
	}
	if _, works := dial(t, l); !works {
		t.Error("a connection opened after the silence does not work")
	}
	l.cut()
	if _, works := dial(t, l); works {
		t.Error("a new connection works through a cut link")
	}
	l.restore()
	if _, works := dial(t, l); !works {
		t.Error("the link does not come back")
	}
}
