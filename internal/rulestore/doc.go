// Package rulestore holds the rules in force on a node and accepts changes.
//
// The platform's store keeps the whole file in one key; its mod revision is the
// rules revision. Each accepted change also leaves a small history record, in the
// same transaction, that holds the change as line edits. A few nodes of each zone
// watch the history records; all others hear of a new revision from their peers'
// datagrams and fetch the edits from one of them.
//
// A node never goes back to a lower revision. A node that starts has none, so it
// first learns what the newest is: from the store or, when the store doesn't
// answer, from all peers it hears within Timing.Gather.
//
// What happens next is decided by state, which has no clock and does no I/O;
// Holder carries the decisions out.
package rulestore
