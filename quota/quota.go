// Package quota divides the request rate that a target accepts among all entries. An
// overloaded target announces in its responses how many requests per second it accepts from
// all entries together.
//
// Expected load: one entry, the owner of a job, makes most of the requests in bursts of a
// hundred, the others a few per second each. A limit may be 1 per second with 88 entries.
// Entries stop, freeze or are partitioned at any time.
//
//  1. A request or item is sent to a target with a limit only with a permit, which is taken
//     right before it is sent. What counts is the target: first attempts, retries, second
//     attempts, resumptions, items and scoring calls need one alike.
//  2. One entry issues the permits of a target, the issuer, to whoever asks. Fixed shares
//     would be wasted where nobody needs them, and with many entries be too small to use.
//  3. Permits are issued at the rate of the limit, with a burst of burstTime. A permit lapses
//     PermitTTL after its entry asked for it, by the clock of that entry: a process that was
//     paused does not send on an old permit, and none are saved up.
//  4. While the entries' views of who lives differ, two issuers may be asked. A new issuer
//     issues at half the rate for TakeoverTime. A deputy, which is asked when the issuer does
//     not respond, issues at a quarter of it. So both together stay below one and a half
//     times the limit.
//  5. Claims are served by priority, then by age, one permit each in turn. Each fairTurn-th
//     permit goes to the priority that was served longest ago, so that none starves.
//  6. An entry learns a limit from a response, or from the issuer. The newest reading
//     holds, where the time of a reading is when its request was sent. A response without
//     a limit ends it, and so does another incarnation of the target.
//  7. A limit of zero counts as minLimit, so that its end is noticed. A value that is not
//     a rate (negative, infinite, not a number) is logged and changes nothing.
package quota
