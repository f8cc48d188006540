package main

import "syscall"

// childAttr ends a controller if this process ends first.
func childAttr() *syscall.SysProcAttr { return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} }
