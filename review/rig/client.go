package rig

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Call is a request of a client.
type Call struct {
	Method, Host, Path, ID, Body string
	DeadlineMs                   int
	Headers                      []string
}

// Bytes returns the request as it is sent.
func (c Call) Bytes() string {
	s := c.Method + " " + c.Path + " HTTP/1.1\r\nHost: " + c.Host + "\r\nRequest-Id: " + c.ID + "\r\n"
	if c.DeadlineMs > 0 {
		s += fmt.Sprintf("Deadline-Ms: %d\r\n", c.DeadlineMs)
	}
	for _, h := range c.Headers {
		s += h + "\r\n"
	}
	if c.Body != "" || c.Method == http.MethodPost {
		s += fmt.Sprintf("Content-Length: %d\r\n", len(c.Body))
	}
	return s + "\r\n" + c.Body
}

// Reply is what a client got.
type Reply struct {
	Status int
	Header http.Header
	Body   string
	Whole  bool // the body was read to its end
	Err    error
	Took   time.Duration
}

// String describes the reply for the record.
func (r Reply) String() string {
	if r.Status == 0 {
		return fmt.Sprintf("no answer (%v) after %d ms", r.Err, r.Took.Milliseconds())
	}
	body := strings.ReplaceAll(r.Body, "\n", "|")
	if len(body) > 120 {
		body = body[:120] + fmt.Sprintf("... (%d bytes)", len(r.Body))
	}
	return fmt.Sprintf("%d stamp=%q retry-after=%q whole=%v body=%q after %d ms", r.Status, r.Header.Get("Server-Stamp"), r.Header.Get("Retry-After"), r.Whole, body, r.Took.Milliseconds())
}

// Client is a connection of a client.
type Client struct {
	Conn   net.Conn
	reader *bufio.Reader
}

// Dial connects to a box.
func Dial(address string) (*Client, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{Conn: c, reader: bufio.NewReader(c)}, nil
}

// Do sends a request and reads the answer within a time.
func (c *Client) Do(call Call, limit time.Duration) Reply {
	began := time.Now()
	_ = c.Conn.SetDeadline(began.Add(limit))
	if _, err := io.WriteString(c.Conn, call.Bytes()); err != nil {
		return Reply{Err: err, Took: time.Since(began)}
	}
	return c.Read(call.Method, began)
}

// Read reads an answer.
func (c *Client) Read(method string, began time.Time) Reply {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return Reply{Err: err, Took: time.Since(began)}
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return Reply{Status: resp.StatusCode, Header: resp.Header, Body: string(body), Whole: err == nil, Err: err, Took: time.Since(began)}
}

// Close closes the connection.
func (c *Client) Close() { _ = c.Conn.Close() }

// Once sends a request on a new connection.
func Once(address string, call Call, limit time.Duration) Reply {
	c, err := Dial(address)
	if err != nil {
		return Reply{Err: errors.Join(errors.New("connect"), err)}
	}
	defer c.Close()
	return c.Do(call, limit)
}

// NewClient returns a client on an open connection.
func NewClient(c net.Conn) *Client { return &Client{Conn: c, reader: bufio.NewReader(c)} }
