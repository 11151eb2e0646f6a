package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Pipeline is a client that sends more reads on a connection before the first one has its answer. It
// sends none once an answer has told that the connection closes, and sends those behind that answer
// again on another connection.
type Pipeline struct {
	deployment *Deployment
	// depth is how many reads wait for their answers on one connection, and interval the mean time
	// between two of them.
	depth    int
	interval time.Duration
	// pause is how long the client takes for 16 KiB of an answer.
	pause time.Duration

	mu sync.Mutex
	// avoided are the boxes that the directory no longer names, with the time since which it does not.
	avoided map[string]time.Time
	// unanswered are the reads of connections that ended before their answers were complete.
	unanswered []unanswered
	answered   int
}

// unanswered is a read without a complete answer.
type unanswered struct {
	id   string
	box  string
	at   time.Time
	read int
	err  error
}

// holdTime is for how long clients hold a directory answer that names a box for a second: some hold it
// three times as long.
const holdTime = 3 * time.Second

// Avoid tells that the directory no longer names a box.
func (p *Pipeline) Avoid(box *Machine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.avoided[box.Name] = time.Now()
}

// Return tells that the directory names a box again.
func (p *Pipeline) Return(box *Machine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.avoided, box.Name)
}

// newPipeline returns a client that keeps up to four reads waiting on a connection.
func newPipeline(d *Deployment) *Pipeline {
	return &Pipeline{deployment: d, depth: 4, interval: 10 * time.Millisecond, pause: 3 * time.Millisecond, avoided: make(map[string]time.Time)}
}

// choose returns a box to connect to.
func (p *Pipeline) choose() *Machine {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		b := p.deployment.Fronts[rand.IntN(len(p.deployment.Fronts))]
		since, avoided := p.avoided[b.Name]
		if !avoided || time.Since(since) < time.Duration(rand.Int64N(int64(holdTime))) {
			return b
		}
	}
}

// Run sends reads until the time given.
func (p *Pipeline) Run(until time.Time) {
	for time.Now().Before(until) {
		box := p.choose()
		c, err := net.DialTimeout("tcp4", box.at(p.deployment.ports.front), time.Second)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		p.serve(c, box, until)
		_ = c.Close()
	}
}

// serve sends reads on one connection until it ends.
func (p *Pipeline) serve(c net.Conn, box *Machine, until time.Time) {
	waiting := make(chan string, p.depth)
	closing := make(chan struct{})
	var writing sync.WaitGroup
	writing.Go(func() {
		defer close(waiting)
		for time.Now().Before(until) {
			select {
			case <-closing:
				return
			case <-time.After(time.Duration(rand.Int64N(int64(2 * p.interval)))):
			}
			id := newAttemptID()
			select {
			case waiting <- id:
			case <-closing:
				return
			}
			p.deployment.record.Add("client: %s to %s", id, box.Name)
			text := fmt.Sprintf("GET %s%d HTTP/1.1\r\nHost: %s\r\nX-Ledgesill-Attempt-Id: %s\r\nX-Ledgesill-Request-Deadline: 3000\r\n\r\n", prefix, rand.IntN(97), hostName, id)
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
		}
	})
	p.read(c, box, waiting, closing)
	writing.Wait()
}

// read reads the answers in the order of the requests.
func (p *Pipeline) read(c net.Conn, box *Machine, waiting <-chan string, closing chan struct{}) {
	reader := bufio.NewReader(c)
	var once sync.Once
	stop := func() { once.Do(func() { close(closing) }) }
	defer stop()
	for id := range waiting {
		_ = c.SetReadDeadline(time.Now().Add(4 * time.Second))
		n, last, err := p.readAnswer(reader, id, stop)
		p.add(id, box, n, err)
		if err == nil && !last {
			continue
		}
		stop()
		for behind := range waiting {
			p.add(behind, box, 0, errBehind)
		}
	}
}

// errBehind says that a read was sent behind one after which its connection ended.
var errBehind = errors.New("sent behind the one after which the connection ended")

// add records the result of a read.
func (p *Pipeline) add(id string, box *Machine, read int, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		p.answered++
		p.deployment.record.Add("client: %s at %s: answered", id, box.Name)
		return
	}
	p.unanswered = append(p.unanswered, unanswered{id, box.Name, time.Now(), read, err})
	p.deployment.record.Add("client: %s at %s: %d bytes, %v", id, box.Name, read, err)
}

// readAnswer reads one answer and returns how many bytes of its body came, and whether the connection
// closes after it.
func (p *Pipeline) readAnswer(r *bufio.Reader, id string, stop func()) (read int, last bool, err error) {
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, false, err
	}
	if response.Close {
		stop()
	}
	buffer := make([]byte, 16<<10)
	for {
		n, err := io.ReadFull(response.Body, buffer)
		read += n
		if err == io.EOF || err == io.ErrUnexpectedEOF && int64(read) == response.ContentLength {
			break
		}
		if err != nil {
			return read, false, err
		}
		time.Sleep(p.pause)
	}
	if response.StatusCode != http.StatusOK {
		return read, response.Close, nil
	}
	if got := response.Header.Get("X-Ledgesill-Server-Seal"); got != "seal-"+id {
		return read, response.Close, fmt.Errorf("the answer to %s is sealed %q", id, got)
	}
	return read, response.Close, nil
}
