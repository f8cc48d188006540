package settings

import (
	"fmt"
	"time"
)

// Constants of the protocol and of the program that bounds follow from.
const (
	workerTimeout       = 4 * time.Second        // a worker drops responses to its heartbeat after this
	userTimeout         = 5 * time.Second        // users give up a request after this
	answerReserve       = 500 * time.Millisecond // of a timeout, for the way of the answer
	stateReadShare      = 0.1                    // of the state service's requests, for reads of the leader key
	stateFlushShare     = 0.1                    // of the state service's writes, for the teams' usage
	cloudListShare      = 0.5                    // of the cloud's requests, for its list of machines
	roundProcessorTime  = time.Millisecond       // that a round takes at least
	roundProcessorShare = 0.5                    // of the processor share, for rounds
	samplesPerMessage   = 16384                  // machine names of a pool that fit into one message
	finishedJobBytes    = 2048                   // memory of one finished job
	finishedJobsShare   = 0.25                   // of the memory, for finished jobs
	longestWait         = 24 * time.Hour         // of work, when nothing else bounds it
	longestSpan         = 1_000_000 * time.Hour  // stands for "never"
	shortestSpan        = 10 * time.Millisecond
)

// limits has a row for each numeric setting.
var limits = []limit{
	{"leadership.hold",
		derived(func(c *limitContext) (time.Duration, string) {
			return c.operator.Leadership.Poll, fmt.Sprintf("a leader touches its key every leadership.poll, %v", c.operator.Leadership.Poll)
		}),
		derived(func(c *limitContext) (time.Duration, string) {
			return c.platform.Lease - c.operator.Leadership.Poll,
				fmt.Sprintf("the next leader must notice before leases end: lease_s is %v, leadership.poll %v", c.platform.Lease.Seconds(), c.operator.Leadership.Poll)
		})},
	{"leadership.poll",
		derived(func(c *limitContext) (time.Duration, string) {
			reads := c.platform.StateRPS * stateReadShare
			return time.Duration(float64(len(c.platform.Siblings)+1) / reads * float64(time.Second)),
				fmt.Sprintf("every controller reads the leader key, and state.rps is %v", c.platform.StateRPS)
		}),
		leaseShare(5)},
	{"leadership.grant", duration(500*time.Millisecond, "a message between controllers may take as long"), leaderTime},
	{"leadership.margin",
		derived(func(c *limitContext) (time.Duration, string) {
			return c.platform.CancelWait/500 + 50*time.Millisecond, fmt.Sprintf("clocks drift within cancel_s, %v", c.platform.CancelWait.Seconds())
		}),
		leaderTime},

	{"placement.draws", number(1, "a task needs a machine"),
		func(c *limitContext) (float64, string) {
			tasks := c.operator.Placement.TasksPerRound
			return float64(samplesPerMessage / tasks), fmt.Sprintf("the draws of a round must fit into a message, and placement.tasks-per-round is %d", tasks)
		}},
	{"placement.tasks-per-round", number(1, "a round must place something"),
		func(c *limitContext) (float64, string) {
			draws := c.operator.Placement.Draws
			return float64(samplesPerMessage / draws), fmt.Sprintf("the draws of a round must fit into a message, and placement.draws is %d", draws)
		}},
	{"placement.round", processorTime, ownerAnswers},
	{"placement.heartbeat", processorTime, ownerAnswers},
	{"placement.scan-after", number(1, "a job must have been drawn for"), number(100, "a job that few machines fit must be scanned for")},
	{"placement.preempt-wait", duration(shortestSpan, "a round must have placed what fits"), duration(time.Minute, "guarantees of teams must be kept")},
	{"placement.short-first", number(0.01, "work that is worth nothing would always give way"), number(10_000, "work that is worth more never gives way")},
	{"placement.report-wait", duration(shortestSpan, "a leader's message takes time"),
		duration(workerTimeout-answerReserve, fmt.Sprintf("a worker gives up its report after %v", workerTimeout))},
	{"placement.begin-within", duration(time.Second, "a round takes time"), duration(longestSpan, "longer means never")},
	{"placement.replicas-apart", duration(shortestSpan, "a round takes time"), duration(time.Hour, "a replica must start somewhere")},
	{"placement.unhurried", duration(time.Second, "a round takes time"), duration(longestWait, "an array must start even if there are no spot machines")},
	{"placement.owner-back", duration(time.Second, "a controller must have been heard more than once"), duration(time.Hour, "a lone owner must be relieved")},
	{"placement.standing", number(0.001, "less has no effect"), number(20, "machines are charged though nothing runs on them")},
	{"placement.spare", number(0.001, "less has no effect"), number(2, "machines are charged though nothing runs on them")},

	{"fleet.tick", processorTime, duration(30*time.Second, "waiting jobs need machines")},
	{"fleet.idle", nextTask, duration(longestSpan, "longer means never")},
	{"fleet.keep", nextTask, duration(longestSpan, "longer means never")},
	{"fleet.horizon", duration(time.Second, "a round takes time"), duration(longestWait, "an array must end its turns")},
	{"fleet.refused-wait", duration(time.Second, "the cloud is asked in vain meanwhile"), duration(time.Hour, "a kind may be had again")},
	{"fleet.list-every",
		derived(func(c *limitContext) (time.Duration, string) {
			return time.Duration(float64(time.Second) / (c.platform.CloudRPS * cloudListShare)),
				fmt.Sprintf("the cloud must be asked for machines too, and cloud.rps is %v", c.platform.CloudRPS)
		}),
		duration(time.Minute, "machines that the cloud took must be noticed")},
	{"fleet.boot-factor", number(1.5, "a machine that boots as usual must not be given up"), number(100, "a machine that does not come must be given up")},
	{"fleet.silent-wait", duration(time.Second, "a machine may report again"), duration(time.Hour, "a lost machine is charged for")},
	{"fleet.errors", number(1, "a failure must have been seen"), number(1000, "a faulty machine must be noticed")},

	{"service.memory-share", number(0.1, "the heap must fit"), number(0.95, "the program needs memory beside its heap")},
	{"service.heap-growth", number(20, "collections take processor time"), number(1000, "the heap must stay below the quota")},
	{"service.user-conns-share", number(0.1, "workers and users must be answered"), number(1, "the quota of sockets holds for all")},
	{"service.call", duration(100*time.Millisecond, "the state service takes time"), leaseShare(2)},
	{"service.cloud-call", duration(500*time.Millisecond, "the cloud takes time"), duration(time.Minute, "a lost call must be made again")},
	{"service.peer-call", duration(100*time.Millisecond, "a message between controllers takes time"), ownerAnswers},
	{"service.direct-call", duration(100*time.Millisecond, "a worker's answer takes time"), leaseShare(2)},
	{"service.glance", duration(shortestSpan, "each look is a request to the state service"),
		duration(userTimeout-answerReserve, fmt.Sprintf("users give up after %v", userTimeout))},
	{"service.ask-wait", duration(100*time.Millisecond, "the state service takes time"),
		duration(userTimeout-answerReserve, fmt.Sprintf("users give up after %v", userTimeout))},
	{"service.final-cache", number(1, "less has no effect"),
		func(c *limitContext) (float64, string) {
			return float64(int(c.platform.MemoryMB * finishedJobsShare * (1 << 20) / finishedJobBytes)),
				fmt.Sprintf("finished jobs must fit into memory, and quota.mem_mb is %v", c.platform.MemoryMB)
		}},

	{"accounts.flush",
		derived(func(c *limitContext) (time.Duration, string) {
			return time.Duration(float64(time.Second) / (c.platform.StateWriteRPS * stateFlushShare)),
				fmt.Sprintf("each flush is a write, and state.write_rps is %v", c.platform.StateWriteRPS)
		}),
		duration(10*time.Minute, "what is not written is lost with its leader")},
}

// duration returns a fixed bound of a duration.
func duration(value time.Duration, since string) bound {
	return number(value.Seconds(), since)
}

// number returns a fixed bound.
func number(value float64, since string) bound {
	return func(*limitContext) (float64, string) { return value, since }
}

// derived returns a bound of a duration that depends on the platform or on other settings.
func derived(value func(c *limitContext) (time.Duration, string)) bound {
	return func(c *limitContext) (float64, string) {
		end, since := value(c)
		return end.Seconds(), since
	}
}

// leaseShare bounds what must happen several times within a worker's lease.
func leaseShare(times time.Duration) bound {
	return derived(func(c *limitContext) (time.Duration, string) {
		return c.platform.Lease / times, fmt.Sprintf("it must fit %d times into lease_s, %v", times, c.platform.Lease.Seconds())
	})
}

// leaderTime bounds the parts of a cancellation that the leader shares with the owners.
func leaderTime(c *limitContext) (float64, string) {
	left := c.platform.CancelWait - c.platform.Lease
	return left.Seconds(), fmt.Sprintf("cancel_s is only %v more than lease_s, %v", left, c.platform.Lease.Seconds())
}

// ownerAnswers bounds the time between two messages of the leader: one of them may be lost before an owner may no
// longer renew its workers' leases.
func ownerAnswers(c *limitContext) (float64, string) {
	return (c.timing.DelegatedLease / 2).Seconds(),
		fmt.Sprintf("owners answer workers for only %v after a leader's message: lease_s is %v, cancel_s %v, leadership.grant %v",
			c.timing.DelegatedLease, c.platform.Lease.Seconds(), c.platform.CancelWait.Seconds(), c.operator.Leadership.Grant)
}

// processorTime bounds from below what takes processor time each time.
func processorTime(c *limitContext) (float64, string) {
	if c.platform.CPUShare <= 0 {
		return shortestSpan.Seconds(), "a round takes time"
	}
	return max(shortestSpan.Seconds(), roundProcessorTime.Seconds()/(c.platform.CPUShare*roundProcessorShare)),
		fmt.Sprintf("it takes processor time, and quota.cpu_share is %v", c.platform.CPUShare)
}

// nextTask bounds from below how long a machine without tasks is kept, so that it can be given some.
func nextTask(c *limitContext) (float64, string) {
	heartbeat := c.operator.Placement.Heartbeat
	return (2 * heartbeat).Seconds(), fmt.Sprintf("a new machine must be given tasks first, and placement.heartbeat is %v", heartbeat)
}
