// Package rulestore holds the rules in force on a node and accepts changes.
//
// The platform's store keeps the complete file under one key, whose mod revision
// is the rules revision. Each accepted change also writes, in the same
// transaction, a small history record that holds the change as line edits. A few
// nodes of each zone watch the history records; the others learn of a new revision
// from their peers' datagrams and fetch the edits from one of them.
//
// A running node never goes back to a lower revision. A starting node has none, so
// it first finds out the newest: from the store or, if the store doesn't answer,
// from the peers heard within Timing.PeerGatherTime.
//
// The decisions are made by state, which has no clock and does no I/O; Holder
// carries them out.
package rulestore
