package model

import "fmt"

// This file defines the wire types of workers and of the cloud. The field names of the
// protocol appear only in the struct tags.

// TaskStatus is the state of one task in a heartbeat.
type TaskStatus struct {
	Task    string    `json:"piece"`
	Attempt uint64    `json:"try"`
	State   TaskState `json:"stage"`
	Cause   Cause     `json:"cause,omitempty"`
	Saved   bool      `json:"stored,omitempty"`
}

// Heartbeat is the message that a worker sends periodically: its identity, its agent epoch
// (Session), a sequence number, the last fencing token that it received, and the status of
// its tasks.
type Heartbeat struct {
	Machine string       `json:"berth"`
	Addr    string       `json:"addr"`
	Type    string       `json:"hull"`
	Zone    string       `json:"yard"`
	Spot    bool         `json:"loaners"`
	Session uint64       `json:"shift"`
	Seq     uint64       `json:"tally"`
	Token   uint64       `json:"baton"`
	NoticeS *float64     `json:"recallS"`
	Tasks   []TaskStatus `json:"pieces"`
}

// Command orders a worker to start or stop an attempt of a task.
type Command struct {
	Op      string   `json:"verb"`
	Task    string   `json:"piece"`
	Attempt uint64   `json:"try"`
	GraceS  *float64 `json:"windDownS,omitempty"`
}

// String returns the command in the form that log lines use.
func (c Command) String() string { return fmt.Sprintf("%s %s@%d", c.Op, c.Task, c.Attempt) }

// HeartbeatResponse is the body of the response to an accepted heartbeat: the leader's
// fencing token and the commands.
type HeartbeatResponse struct {
	Token    uint64    `json:"baton"`
	Commands []Command `json:"orders"`
}

// DirectCommands is the body of a call from the controller to a worker, which is made in
// addition to heartbeat responses. It applies to one agent epoch (Session) only.
type DirectCommands struct {
	Token    uint64    `json:"baton"`
	Session  uint64    `json:"shift"`
	Commands []Command `json:"orders"`
}

// WireType is a machine type as the cloud publishes it.
type WireType struct {
	Name        string   `json:"sku"`
	CPUs        float64  `json:"cpus"`
	GPUs        float64  `json:"cards"`
	MemoryGB    float64  `json:"memoryGb"`
	CacheGB     float64  `json:"cacheGb"`
	FetchGBPerS float64  `json:"fetchGbPerS"`
	Price       float64  `json:"hourly"`
	SpotPrice   float64  `json:"lowPrice"`
	BootS       float64  `json:"startupS"`
	Zones       []string `json:"yards"`
}

// Catalogue is the cloud's list of machine types.
type Catalogue struct {
	Types []WireType `json:"hulls"`
}

// Table returns the machine types of the catalogue by name.
func (c Catalogue) Table() map[string]MachineType {
	out := make(map[string]MachineType, len(c.Types))
	for _, t := range c.Types {
		out[t.Name] = MachineType{
			Name:        t.Name,
			Size:        Size{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB},
			CacheGB:     t.CacheGB,
			FetchGBPerS: t.FetchGBPerS,
			Price:       t.Price,
			SpotPrice:   t.SpotPrice,
			Boot:        Seconds(t.BootS),
			Zones:       t.Zones,
		}
	}
	return out
}
