package caller

// This file defines the formats of answers: the JSON error body that clients of
// language models parse, the status codes of refusals, and the complete answer that
// is assembled from a stream. The invariant: each refusal says whether the request
// may have run, and an answer is assembled only from events that were all understood.

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/doormast/doormast/cell"
	"github.com/doormast/doormast/decide"
)

// refusal is the content of an error answer.
type refusal struct {
	reason     decide.Reason
	message    string
	ran        bool          // whether the request may have run
	retryAfter time.Duration // 0 is none
}

// errorObject is the JSON error body, in the format of the common API for language
// models.
type errorObject struct {
	Error struct {
		Message    string `json:"message"`
		Type       string `json:"type"`
		Code       string `json:"code"`
		Ran        string `json:"ran"`
		RetryAfter int    `json:"retry_after_ms,omitempty"`
	} `json:"error"`
}

// ranText returns the value of HeaderRan, which is also that of the field ran in the
// error body: whether the request may have run.
func ranText(ran bool) string {
	if ran {
		return "unknown"
	}
	return "no"
}

func errorBody(r refusal) []byte {
	var e errorObject
	e.Error.Message = r.message
	e.Error.Type = "doormast_refusal"
	e.Error.Code = r.reason.String()
	e.Error.Ran = ranText(r.ran)
	e.Error.RetryAfter = int(r.retryAfter / time.Millisecond)
	// Encoding cannot fail: the struct holds only strings and numbers.
	b, _ := json.Marshal(e)
	return b
}

// refuse writes an error answer. Retry-After is rounded up to whole seconds.
func refuse(ctx *fasthttp.RequestCtx, status int, r refusal) {
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(HeaderRan, ranText(r.ran))
	ctx.Response.Header.Set(HeaderReason, r.reason.String())
	if r.retryAfter > 0 {
		seconds := int((r.retryAfter + time.Second - 1) / time.Second)
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(seconds))
	}
	ctx.SetBody(errorBody(r))
}

// messages holds the text of error answers by reason.
var messages = map[decide.Reason]string{
	decide.OverClassLimit:    "the class is over its limit",
	decide.OverCustomerLimit: "the customer is over its limit",
	decide.Late:              "its target cannot be met or its deadline has passed",
	decide.QueueFull:         "the queue is full",
	decide.Evicted:           "it gave way to a higher tier in a full queue",
	decide.NoUpstream:        "no upstream serves this class here",
	decide.Stopping:          "this box is ending",
	decide.DuplicateKey:      "the idempotency key was used before",
	decide.KeyNotVouched:     "nobody here can vouch that the idempotency key was not used before",
	decide.KeyElsewhere:      "the idempotency key belongs to another failure domain",
	decide.UpstreamFailed:    "the upstream failed",
	decide.RetriesSpent:      "the upstream failed and the retries are spent",
	decide.NoTable:           "this box has no table yet",
	decide.Overloaded:        "this box can take no more",
	decide.BadRequest:        "the request is wrong",
	decide.Withheld:          "upstreams have ended under it",
}

func refusalOf(f cell.Final) refusal {
	return refusal{reason: f.Reason, message: messages[f.Reason], ran: f.Ran, retryAfter: f.RetryAfter}
}

// statusOf returns the HTTP status code of a refusal.
func statusOf(f cell.Final) int {
	switch f.Reason {
	case decide.OverClassLimit, decide.OverCustomerLimit, decide.QueueFull, decide.Evicted:
		return fasthttp.StatusTooManyRequests
	case decide.DuplicateKey, decide.KeyElsewhere:
		return fasthttp.StatusConflict
	case decide.BadRequest:
		return fasthttp.StatusBadRequest
	case decide.UpstreamFailed, decide.RetriesSpent:
		return fasthttp.StatusBadGateway
	}
	return fasthttp.StatusServiceUnavailable
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

// chunk is the JSON content of an event of a stream, as far as it is used here.
type chunk struct {
	Model   string `json:"model"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Error json.RawMessage `json:"error"` // an engine that fails within a stream may still end it
}

// aggregate assembles a complete answer from the events of a stream.
type aggregate struct {
	text         strings.Builder
	model        string
	finishReason string
	tokens       int
	kept         int  // bytes of text, and of events that brought none
	isBroken     bool // some event brought an error, or nothing that can be read: the answer lacks a part
}

// maxWholeAnswer bounds an answer that is assembled from a stream, in bytes.
const maxWholeAnswer = 4 << 20

// isTooLong reports whether the events have come without an end.
func (a *aggregate) isTooLong() bool { return a.kept > maxWholeAnswer }

// wholeAnswerCopies is how many times the memory of its text an answer takes: for a buffer that grows, and for its JSON form.
const wholeAnswerCopies = 3

// memory returns how much memory the answer takes, in bytes.
func (a *aggregate) memory() int64 { return wholeAnswerCopies * int64(a.text.Len()) }

func (a *aggregate) add(event []byte) {
	var c chunk
	if json.Unmarshal(event, &c) != nil || len(c.Error) > 0 && string(c.Error) != "null" {
		a.isBroken = true
		a.kept += len(event)
		return
	}
	a.model = c.Model
	for _, choice := range c.Choices {
		a.text.WriteString(choice.Delta.Content)
		a.kept += len(choice.Delta.Content)
		if choice.FinishReason != nil {
			a.finishReason = *choice.FinishReason
		}
	}
	a.tokens++
}

// completion is the JSON format of a complete answer.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   usage    `json:"usage"`
}

type choice struct {
	Index        int     `json:"index"`
	Message      message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

func (a *aggregate) answer(id string) completion {
	if a.finishReason == "" {
		a.finishReason = "stop"
	}
	return completion{ID: id, Object: "chat.completion", Model: a.model,
		Choices: []choice{{Message: message{"assistant", a.text.String()}, FinishReason: a.finishReason}},
		Usage:   usage{a.tokens}}
}
