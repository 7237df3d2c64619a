// Package healthsim simulates a fleet, its targets and its callers in one
// goroutine and in simulated time, to measure the health and balancing policies.
// It runs the production collectors, evaluators, followers and balancers.
package healthsim
