package lab

import "syscall"

// ChildAttr has a process end with the one that started it, however that ends, and keeps the
// terminal's Ctrl-C from it: the lab ends it in order.
func ChildAttr() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
}
