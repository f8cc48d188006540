package model

import (
	"encoding/json"
	"strconv"
)

// A heartbeat is a request body, which the protocol limits to MaxBody, and it lists every task on its machine: ended
// tasks too, until the machine is told to forget them. The heartbeat of a machine with more tasks than that is refused,
// its lease runs out, and everything on it is lost. So the space in the heartbeat is a resource of the machine like its
// memory.

// reportHeadBytes bounds a heartbeat without its tasks: two names and addresses, and numbers.
const reportHeadBytes = 2 << 10

// MaxTaskReportBytes is the space for tasks in a machine's heartbeat.
const MaxTaskReportBytes = MaxBody - reportHeadBytes

// keptReportBytes is the part of that space that is kept free of tasks which would fill it before they fill the
// machine's resources.
//
// Guard: without it, one job of very many small tasks fills the heartbeats of all machines, and nothing else can be placed
// beside it although their resources are free.
const keptReportBytes = MaxTaskReportBytes / 2

// longestTaskReport is a task in a heartbeat without the ID of its job: the largest numbers, the longest words, and a
// space after each mark.
const longestTaskReport = `{"piece": "/99999", "try": 18446744073709551615, "stage": "gathering", "cause": "stopped", "stored": false}, `

// FillsReportFirst reports whether tasks of this size fill the heartbeat of a machine before they fill its resources.
func (s Size) FillsReportFirst(machine Size) bool {
	return s.Share(machine)*MaxTaskReportBytes < float64(s.ReportBytes)
}

// FreeFor returns what a task of this size may use of the free capacity of a machine.
func (s Size) FreeFor(machine, free Size) Size {
	if s.FillsReportFirst(machine) {
		free.ReportBytes -= keptReportBytes
	}
	return free
}

// TaskReportBytes returns the most space that a task of a job takes up in its machine's heartbeat, in any state.
func TaskReportBytes(job string) int { return len(longestTaskReport) + len(job) }

// LongestTaskReport returns the most space that an attempt of a task takes up in its machine's heartbeat, in any state.
func LongestTaskReport(job string, index int, attempt uint64) int {
	longestNumbers := len("/99999") + len("18446744073709551615")
	return TaskReportBytes(job) - longestNumbers + len(TaskName("", index)) + len(strconv.FormatUint(attempt, 10))
}

// Oversized reports whether a message that lists a number of tasks or commands is longer than the protocol allows a body
// or a line to be.
func Oversized(message any, listed int) bool {
	const longestItem = len(longestTaskReport) + maxIDLength
	if listed < (MaxBody-reportHeadBytes)/longestItem {
		return false
	}
	text, err := json.Marshal(message)
	return err != nil || len(text) > MaxBody
}
