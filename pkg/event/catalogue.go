package event

import "github.com/rs/zerolog"

// The events. IDs are grouped by subject: 1xx life cycle of the process, 2xx
// agreement and membership, 3xx configuration, 4xx rate limits, 5xx health of
// targets, 6xx data path, 7xx platform, 8xx operators.
var (
	Started        = Event{100, "started", zerolog.InfoLevel, "the instance accepts callers"}
	Draining       = Event{101, "draining", zerolog.InfoLevel, "a graceful shutdown has begun"}
	Stopped        = Event{102, "stopped", zerolog.InfoLevel, "the instance has stopped and cut no request"}
	StopTimedOut   = Event{103, "stop_timed_out", zerolog.ErrorLevel, "requests were still open when the shutdown limit passed; raise shutdown_timeout_ms"}
	PanicContained = Event{104, "panic_contained", zerolog.ErrorLevel, "the handling of one message failed in an unforeseen way; the process goes on; report the stack"}

	Joined           = Event{200, "joined", zerolog.InfoLevel, "the instance is a member"}
	MemberRemoved    = Event{201, "member_removed", zerolog.WarnLevel, "an unresponsive member was removed; check whether its process should run"}
	FenceLost        = Event{202, "fence_lost", zerolog.WarnLevel, "the instance has no majority of witnesses and refuses requests; check the network"}
	FenceRegained    = Event{203, "fence_regained", zerolog.InfoLevel, "the instance has a majority of witnesses again"}
	GuestStarted     = Event{204, "guest_started", zerolog.WarnLevel, "the instance started without the platform and serves as a guest"}
	MajorityReplaced = Event{205, "majority_replaced", zerolog.WarnLevel, "the membership was replaced after a majority of witnesses was lost"}
	LeftMembership   = Event{206, "left_membership", zerolog.InfoLevel, "the instance has left the membership"}
	RemovedSelf      = Event{207, "removed_self", zerolog.WarnLevel, "this incarnation was removed from the membership; the process rejoins under a new incarnation"}
	ServingChanged   = Event{208, "serving_changed", zerolog.InfoLevel, "the set of instances that serve callers changed, as this instance sees it"}
	JoinFailed       = Event{209, "join_failed", zerolog.WarnLevel, "the instance could not enter or read the roster of members; check the platform's store"}
	DatagramRejected = Event{210, "datagram_rejected", zerolog.WarnLevel, "a datagram could not be read or built; check who sends to the gossip address"}
	QuietChanged     = Event{211, "quiet_changed", zerolog.InfoLevel, "the instance began or ceased to own targets; one with few requests leaves them to others of its zone"}
	DatagramNotSent  = Event{212, "datagram_not_sent", zerolog.WarnLevel, "a heartbeat could not be sent; if it is too long, others take this instance for gone"}
	PathsLost        = Event{213, "paths_lost", zerolog.WarnLevel, "this instance connects to no target, though others do; it takes no callers and sends requests through the others; check its network"}
	EntryLost        = Event{215, "entry_lost", zerolog.WarnLevel, "the entry of this instance in the roster was missing or that of another process and is written again; after a restore of the store this is expected"}
	MemberUnheard    = Event{216, "member_unheard", zerolog.WarnLevel, "an instance in the roster does not answer this one; check whether it runs, and the network between the two"}
	PathsRegained    = Event{214, "paths_regained", zerolog.InfoLevel, "this instance connects to targets again, or no instance does"}

	ConfigApplied     = Event{300, "config_applied", zerolog.InfoLevel, "a configuration version is in use at this instance"}
	ConfigDelivered   = Event{301, "config_delivered", zerolog.InfoLevel, "a version was delivered to a majority of witnesses"}
	ConfigRejected    = Event{302, "config_rejected", zerolog.ErrorLevel, "a fetched configuration failed validation; the instance keeps the previous one"}
	CopyFailed        = Event{303, "copy_failed", zerolog.WarnLevel, "the configuration or the list of targets could not be copied from another instance; the store is read instead"}
	HeadLost          = Event{304, "head_lost", zerolog.ErrorLevel, "the head row lacks a version that this instance holds, as after a restore of the table from a copy"}
	ClaimsWritten     = Event{305, "claims_written_again", zerolog.WarnLevel, "the instance wrote the claims of idempotency keys again that it had recorded before a restore of the table"}
	ConfigUnconfirmed = Event{306, "config_unconfirmed", zerolog.WarnLevel, "for longer than a change may take, the instance has not learned whether its configuration is the newest; look for 303, 700 and edge_heartbeat_delay_seconds"}
	ConfigConfirmed   = Event{307, "config_confirmed", zerolog.InfoLevel, "the instance knows again that its configuration is the newest"}

	LoanFailed = Event{400, "loan_failed", zerolog.WarnLevel, "no token issuer of a team answered a loan request; check the network between instances"}

	TargetEjected    = Event{500, "target_ejected", zerolog.WarnLevel, "a health evaluator ejected a target; look at the target"}
	TargetReturned   = Event{501, "target_returned", zerolog.InfoLevel, "an ejected target takes full load again"}
	FloorHeld        = Event{502, "floor_held", zerolog.WarnLevel, "a failing target was kept because of the floor; add capacity or repair targets"}
	TargetDraining   = Event{503, "target_draining", zerolog.InfoLevel, "a target announced that it is leaving"}
	EvaluatorChanged = Event{504, "evaluator_changed", zerolog.InfoLevel, "the instance follows another health evaluator for a service"}
	TargetListed     = Event{505, "target_listed", zerolog.InfoLevel, "the platform lists a target that is new or has changed"}
	TargetGone       = Event{506, "target_gone", zerolog.InfoLevel, "the platform no longer lists a target; it gets no requests"}
	TargetSuspected  = Event{507, "target_suspected", zerolog.InfoLevel, "requests from this instance failed at a target; it gets few requests until it answers again"}
	FirstListing     = Event{509, "first_listing", zerolog.InfoLevel, "the targets were listed for the first time since the start; 505 and 506 name changes from now on"}
	TargetTrusted    = Event{508, "target_trusted", zerolog.InfoLevel, "a suspected target has answered and is no longer suspected"}

	TargetLimitNamed = Event{510, "target_limit_named", zerolog.InfoLevel, "a target accepts only the named requests per second from all instances together; look at the target"}
	TargetLimitEnded = Event{511, "target_limit_ended", zerolog.InfoLevel, "a target accepts any request rate again"}
	TargetUnreached  = Event{512, "target_unreached", zerolog.InfoLevel, "this instance could not connect to a target of its zone and leaves it to another one; check the network between them"}
	TargetReached    = Event{513, "target_reached", zerolog.InfoLevel, "this instance reaches a target again"}
	TargetLeaving    = Event{515, "target_leaving", zerolog.InfoLevel, "a target says in its responses that it leaves; it gets no further requests, whatever its listing says"}
	TargetPaused     = Event{516, "target_paused", zerolog.InfoLevel, "a target turned a request away and wants none from this instance for the named time"}
	PauseUnreadable  = Event{517, "pause_unreadable", zerolog.WarnLevel, "a target turned a request away with a Retry-After that is no number of seconds; it is ignored; look at the target"}
	ZoneEvacuated    = Event{518, "zone_evacuated", zerolog.WarnLevel, "an operator has ordered that the targets of a zone get no requests; this instance obeys from now on"}
	ZoneRestored     = Event{519, "zone_restored", zerolog.InfoLevel, "the order to evacuate a zone was withdrawn; its targets get requests again"}
	TargetCold       = Event{520, "target_cold", zerolog.InfoLevel, "a target is cold or may be; all instances together send it at most the rate that its service sets for cold targets"}
	TargetWarm       = Event{521, "target_warm", zerolog.InfoLevel, "a target is warm and no longer limited"}
	TargetRetained   = Event{523, "target_retained", zerolog.InfoLevel, "a target is missing from the listing but stays in use for the time left: its entry may have expired in an outage of the store"}
	ProbeMalformed   = Event{522, "probe_malformed", zerolog.WarnLevel, "a target's answer to a probe is no HTTP; the probe has failed; look at the target"}

	TargetEnded = Event{514, "target_ended", zerolog.WarnLevel, "a target accepts no connection after it lost that of a request; the same digest at several targets tells that the request crashes them"}

	OutcomeUnknown   = Event{600, "outcome_unknown", zerolog.WarnLevel, "a non-idempotent request may have run; the caller was told so"}
	AnswerIncomplete = Event{601, "answer_incomplete", zerolog.WarnLevel, "a target's answer was cut short and not passed on"}
	AnswerMalformed  = Event{610, "answer_malformed", zerolog.WarnLevel, "a target's answer is no HTTP and was not passed on; it counts as a failure of the target; look at the target"}
	CallerTooSlow    = Event{603, "caller_too_slow", zerolog.WarnLevel, "a caller left or did not read a large response in time; the exchange with the target was ended"}
	BudgetExhausted  = Event{604, "budget_exhausted", zerolog.WarnLevel, "the memory for bodies is in use; requests with large bodies are refused and large responses are passed on without a first part in memory"}
	RequestEnded     = Event{602, "request_ended", zerolog.InfoLevel, "a request was answered or refused; the line lists its attempts and the cause of a refusal"}

	RequestQuarantined = Event{605, "request_quarantined", zerolog.WarnLevel, "a request has crashed three targets one after the other and is refused from now on; look at the targets, and at the request by its digest"}
	RequestCleared     = Event{606, "request_cleared", zerolog.InfoLevel, "a request in quarantine was run by a target without a crash and is admitted again"}
	HedgeLimitsChanged = Event{609, "hedge_limits_changed", zerolog.InfoLevel, "the limits on hedges in the settings have changed and are in force from now on"}
	QuarantineNotKept  = Event{608, "quarantine_not_kept", zerolog.WarnLevel, "the requests in quarantine could not be read from or written to the platform's store; it is tried again"}
	RequestTried       = Event{607, "request_tried", zerolog.WarnLevel, "a request in quarantine is sent to one target as a trial"}

	PlatformUnavailable = Event{700, "platform_unavailable", zerolog.WarnLevel, "the platform does not answer; requests are still served, but changes are delayed until it answers again"}
	PlatformAvailable   = Event{701, "platform_available", zerolog.InfoLevel, "the platform answers again"}
	ListingFailed       = Event{702, "listing_failed", zerolog.WarnLevel, "the targets could not be listed; the last listing stays in use"}
	EntryRejected       = Event{703, "entry_rejected", zerolog.WarnLevel, "an entry of a target or of a request in quarantine, or an order to evacuate a zone, in the platform's store could not be read and is ignored; check who wrote it"}
	ProcessPaused       = Event{706, "process_paused", zerolog.WarnLevel, "the process did not run for 600 ms or more; configuration and targets are read again before requests are served"}
	StoreRestored       = Event{707, "store_restored", zerolog.WarnLevel, "the store came back from a copy and has lost what was written since; all state that was read from it is read again"}
	InstanceListFailed  = Event{709, "instance_list_failed", zerolog.WarnLevel, "the platform's list of instances could not be read; the last one stays in use"}
	ListingChanged      = Event{708, "listing_changed", zerolog.InfoLevel, "the instance took over another listing of the targets; missing targets are retained while it is unsettled"}
	StoreReturned       = Event{710, "store_returned", zerolog.InfoLevel, "the store answers again after an outage or a restore; targets that are missing from the listing are retained for the time left"}
	SettingsReloaded    = Event{704, "settings_reloaded", zerolog.InfoLevel, "the settings file was read again"}
	SettingsRejected    = Event{705, "settings_rejected", zerolog.WarnLevel, "the settings file could not be read again; the previous settings stay in use"}

	PatchAccepted = Event{800, "patch_accepted", zerolog.InfoLevel, "an operator's patch was accepted"}
	PatchRefused  = Event{801, "patch_refused", zerolog.InfoLevel, "an operator's patch was refused"}
	AuthFailed    = Event{802, "operator_auth_failed", zerolog.WarnLevel, "an operator request had wrong credentials"}
	CertReloaded  = Event{803, "certificate_reloaded", zerolog.InfoLevel, "a TLS certificate was reloaded"}
	CertFailed    = Event{804, "certificate_failed", zerolog.ErrorLevel, "a TLS certificate could not be reloaded; the previous one stays in use"}
)

// All returns all events in ascending order of their IDs.
func All() []Event {
	return []Event{
		Started, Draining, Stopped, StopTimedOut, PanicContained,
		Joined, MemberRemoved, FenceLost, FenceRegained, GuestStarted, MajorityReplaced, LeftMembership, RemovedSelf,
		ServingChanged, JoinFailed, DatagramRejected, QuietChanged, DatagramNotSent, PathsLost, PathsRegained, EntryLost, MemberUnheard,
		ConfigApplied, ConfigDelivered, ConfigRejected, CopyFailed, HeadLost, ClaimsWritten, ConfigUnconfirmed, ConfigConfirmed,
		LoanFailed,
		TargetEjected, TargetReturned, FloorHeld, TargetDraining, EvaluatorChanged, TargetListed, TargetGone, TargetSuspected, TargetTrusted, FirstListing,
		TargetLimitNamed, TargetLimitEnded, TargetUnreached, TargetReached, TargetEnded, TargetLeaving, TargetPaused, PauseUnreadable, ZoneEvacuated, ZoneRestored, TargetCold, TargetWarm, ProbeMalformed, TargetRetained,
		OutcomeUnknown, AnswerIncomplete, RequestEnded, CallerTooSlow, BudgetExhausted, RequestQuarantined, RequestCleared, RequestTried, QuarantineNotKept, HedgeLimitsChanged, AnswerMalformed,
		PlatformUnavailable, PlatformAvailable, ListingFailed, EntryRejected, SettingsReloaded, SettingsRejected, ProcessPaused, StoreRestored, ListingChanged, InstanceListFailed, StoreReturned,
		PatchAccepted, PatchRefused, AuthFailed, CertReloaded, CertFailed,
	}
}
