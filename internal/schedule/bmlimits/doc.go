// Package bmlimits learns how much work a target takes well:
//
//   - Curve: how long work takes by the number of requests at once, and from it a
//     concurrency limit below the target's slots where more requests at once complete
//     less work;
//   - Speed: how slow the target is now, by its own reports, which count as long as they
//     are young and as they predict what its responses take;
//   - Pauses: for how long a prompt that a target processes stops the streams beside it.
//
// The types are immutable values without I/O; the time is an argument. Their owner is the
// pool that grants the target's slots: the broker's, or that of a host that serves its own
// share. They are lost with it. Its successor has no limits at first and learns them again
// from the responses that hosts report. What an owner that was paused knows has aged when
// it wakes up: reports no longer count, and limits are probed at the next request.
package bmlimits
