package plumtree

import (
	"testing"
	"time"
)

// TestAnnounce checks that an item broadcast before there were neighbors can be announced to
// them later, that they get it on request, and that a repeated broadcast sends nothing.
func TestAnnounce(t *testing.T) {
	var sent []Message
	tree := New("a", time.Second, time.Minute, func(to string, m Message) {
		if to != "b" {
			t.Errorf("unexpected %s message to %s", m.Kind, to)
		}
		sent = append(sent, m)
	}, func([]byte) bool { return true }, func(string) bool { return false })
	tree.Broadcast("x", []byte("body"))
	tree.SetNeighbors([]string{"b"})
	tree.Broadcast("x", []byte("body"))
	if len(sent) != 0 {
		t.Fatal(sent)
	}
	tree.Announce("x")
	tree.Flush()
	if len(sent) != 1 || sent[0].Kind != "ihave" || len(sent[0].IDs) != 1 || sent[0].IDs[0] != "x" {
		t.Fatal(sent)
	}
	tree.Receive(Message{Kind: "graft", From: "b", IDs: []string{"x"}})
	if len(sent) != 2 || sent[1].Kind != "gossip" || string(sent[1].Body) != "body" {
		t.Error(sent)
	}
}
