package placement

import (
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// replaceReport replaces a machine's last report, and updates the index that maps each job to the machines that report
// exited tasks of it.
//
// Guard: a job's exited tasks are found by this index. When every write of a completion bitmap went through all
// machines, each write cost sixteen times as much in a cluster sixteen times as large, which also has sixteen times as
// many writes.
func (cs *ClusterState) replaceReport(machine *Machine, tasks []*peerspb.Task) {
	for _, reported := range machine.reported {
		if model.TaskState(reported.State) == model.TaskExited {
			if cs.exitedTasks[reported.Job].Delete(machine.Name); cs.exitedTasks[reported.Job].Len() == 0 {
				delete(cs.exitedTasks, reported.Job)
			}
		}
	}
	exitedBefore := machine.exitedReportBytes
	machine.reported, machine.exitedReportBytes = tasks, 0
	machine.EverUsed = machine.EverUsed || len(tasks) > 0
	for _, reported := range machine.reported {
		if model.TaskState(reported.State) != model.TaskExited {
			continue
		}
		machine.exitedReportBytes += model.TaskReportBytes(reported.Job)
		if cs.exitedTasks[reported.Job] == nil {
			cs.exitedTasks[reported.Job] = model.NewTable[string, *Machine]()
		}
		cs.exitedTasks[reported.Job].Put(machine.Name, machine)
	}
	if machine.exitedReportBytes < exitedBefore && machine.load.ReportBytes+exitedBefore > model.MaxTaskReportBytes/4 {
		cs.capacityEvents++ // its report may have been too full for a task
	}
}

// forgetExitedTasks lets machines forget those of a job's exited tasks whose reports are no longer needed after a write
// of its completion bitmap.
func (cs *ClusterState) forgetExitedTasks(jobID string) {
	job := cs.jobs.At(jobID)
	for _, machine := range cs.exitedTasks[jobID].All() {
		if machine.Phase != Current {
			continue
		}
		for _, reported := range machine.reported {
			if reported.Job != jobID || model.TaskState(reported.State) != model.TaskExited {
				continue
			}
			if job == nil {
				cs.sendForget(machine, reported)
			} else {
				cs.sendForgetIfStored(machine, job, reported)
			}
		}
	}
}
