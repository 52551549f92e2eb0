// Command citrontray is the operators' command line.
package main

import (
	"context"
	"os"
	"os/signal"
	"os/user"
	"syscall"
	"time"

	"citrontray.example/citrontray/internal/command"
	"citrontray.example/citrontray/platform"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	env := &command.Env{
		In: os.Stdin, Out: os.Stdout, Err: os.Stderr,
		Getenv: os.Getenv, Now: time.Now, User: userName(), DecodeConfig: platform.DecodeConfig,
	}
	return command.Run(ctx, env, os.Args[1:])
}

// userName returns the login name of the user.
func userName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}
