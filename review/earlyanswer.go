package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// uploadBytes is the length of an upload, which a client sends in chunks of pieceBytes with a
	// pause after each: about 2 Mbit/s.
	uploadBytes = 160_000
	pieceBytes  = 4_000
	piecePause  = 15 * time.Millisecond
	// answerBytes is the length of the answer, which a server sends in answerPieces over
	// answerTime.
	answerBytes  = 20_000
	answerPieces = 10
	answerTime   = 400 * time.Millisecond
	uploads      = 24
)

// uploadOf returns the body of an upload: numbered lines, so that a gap can be seen.
func uploadOf(id string) []byte {
	var b bytes.Buffer
	for n := 0; b.Len() < uploadBytes; n++ {
		fmt.Fprintf(&b, "%s line %06d\n", id, n)
	}
	return b.Bytes()[:uploadBytes]
}

// uploadServer is a stand-in for a server that answers as soon as it has read the head of a
// request, or if early is false once it has read all, and reads the whole body in any case.
type uploadServer struct {
	log   *record
	id    string
	early bool

	mu      sync.Mutex
	changed []string
	whole   int
	cut     int
}

func (u *uploadServer) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go u.serveConn(c)
	}
}

func (u *uploadServer) serveConn(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !u.serveRequest(c, r) {
			return
		}
	}
}

// serveRequest reports whether the connection can take another request.
func (u *uploadServer) serveRequest(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("X-Ledgesill-Attempt-Id")
	if want := r.Header.Get("X-Ledgesill-Expect-Instance"); want != "" && want != u.id {
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Ledgesill-Attempt-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", id)
		return false
	}
	u.log.add("server %s gets the head of %s: length %d, %v", u.id, id, r.ContentLength, r.TransferEncoding)
	answered := make(chan error, 1)
	if u.early {
		go func() { answered <- u.answer(c, id) }()
	}
	body, err := io.ReadAll(r.Body)
	want := uploadOf(id)
	u.mu.Lock()
	switch {
	case err != nil:
		u.cut++
		u.log.add("server %s: the body of %s breaks off after %d bytes: %v", u.id, id, len(body), err)
	case bytes.Equal(body, want):
		u.whole++
		u.log.add("server %s: the body of %s is whole, %d bytes", u.id, id, len(body))
	default:
		at := 0
		for at < len(body) && at < len(want) && body[at] == want[at] {
			at++
		}
		u.changed = append(u.changed, id)
		u.log.add("server %s: the body of %s ends as if it were whole, with %d of %d bytes, and differs from byte %d on: %.40q", u.id, id, len(body), len(want), at, body[at:])
	}
	u.mu.Unlock()
	if !u.early && err == nil {
		answered <- u.answer(c, id)
	}
	return err == nil && <-answered == nil
}

// answer sends the answer to a request piece by piece.
func (u *uploadServer) answer(c net.Conn, id string) error {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Ledgesill-Attempt-Id: %s\r\nX-Ledgesill-Server-Seal: seal.%s\r\nX-Ledgesill-Server-Load: 1,0,8\r\nContent-Length: %d\r\n\r\n", id, id, answerBytes)
	for range answerPieces {
		if err != nil {
			return err
		}
		_, err = c.Write(bytes.Repeat([]byte("."), answerBytes/answerPieces))
		time.Sleep(answerTime / answerPieces)
	}
	return err
}

// upload sends one upload in chunks on a new connection and returns the status of its answer and
// how many bytes that has.
func (c *cluster) upload(n *node, id string) (status, length int, err error) {
	conn, err := net.DialTimeout("tcp4", fmt.Sprintf("%s:%d", n.ip, callerPort), time.Second)
	if err != nil {
		return 0, 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(8 * time.Second))
	c.log.add("client: sends %s to %s, %d bytes in chunks", id, n.name, uploadBytes)
	sent := make(chan error, 1)
	go func() {
		_, err := fmt.Fprintf(conn, "POST /uploads/%s HTTP/1.1\r\nHost: %s\r\nX-Ledgesill-Attempt-Id: %s\r\nX-Ledgesill-Request-Deadline: 8000\r\nTransfer-Encoding: chunked\r\n\r\n", id, host, id)
		for rest := uploadOf(id); len(rest) > 0 && err == nil; {
			piece := rest[:min(pieceBytes, len(rest))]
			_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(piece), piece)
			rest = rest[len(piece):]
			time.Sleep(piecePause)
		}
		if err == nil {
			_, err = io.WriteString(conn, "0\r\n\r\n")
		}
		sent <- err
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, 0, err
	}
	body, err := io.ReadAll(response.Body)
	sendErr := <-sent
	c.log.add("client: %s gets status %d, %d bytes, seal %q, error %v; its own sending ended with %v", id, response.StatusCode, len(body), response.Header.Get("X-Ledgesill-Server-Seal"), err, sendErr)
	return response.StatusCode, len(body), err
}

// earlyAnswer checks that a server which answers before it has read a long body, and reads on,
// gets nothing but that body.
func earlyAnswer(log *record, trouble bool) (broken bool, err error) {
	c, err := newCluster(log, 3, 2, false)
	if err != nil {
		return false, err
	}
	defer c.close()
	if err := c.startAll(); err != nil {
		return false, err
	}
	if err := c.configure(10*time.Second, route{"uploads", "unsafe", "/uploads/", "exporter"}); err != nil {
		return false, err
	}
	if err := c.waitReady(10 * time.Second); err != nil {
		return false, err
	}
	var servers []*uploadServer
	for i := range 2 {
		address := fmt.Sprintf("%s:%d", c.address(100+i), serverPort)
		u := &uploadServer{log: log, id: fmt.Sprintf("i-%d", i), early: trouble}
		l, err := net.Listen("tcp4", address)
		if err != nil {
			return false, err
		}
		go u.serve(l)
		s := &server{cluster: c, log: log, id: u.id, service: "exporter", zone: zones[i], address: address, slots: 8, state: "ready", listener: l}
		c.servers = append(c.servers, s)
		if err := s.register(5 * time.Second); err != nil {
			return false, err
		}
		servers = append(servers, u)
	}
	time.Sleep(3 * time.Second)
	good := 0
	for n := range uploads {
		status, length, err := c.upload(c.entries[n%2], fmt.Sprintf("u%d", n))
		if err == nil && status == http.StatusOK && length == answerBytes {
			good++
		}
	}
	time.Sleep(time.Second)
	changed, whole, cut := 0, 0, 0
	for _, u := range servers {
		u.mu.Lock()
		changed += len(u.changed)
		whole += u.whole
		cut += u.cut
		u.mu.Unlock()
	}
	log.add("%d uploads: %d answered with a whole success; bodies at the servers: %d whole, %d broken off, %d changed", uploads, good, whole, cut, changed)
	fmt.Printf("good %d whole %d broken off %d changed %d\n", good, whole, cut, changed)
	if whole+cut+changed < uploads/2 {
		return false, fmt.Errorf("only %d uploads reached a server", whole+cut+changed)
	}
	return changed > 0, nil
}
