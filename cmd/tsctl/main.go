// Command tsctl is the command-line tool for operators: it checks, stores, compares and promotes environment
// documents, and shows the state of VMs and the reasons for failed requests.
package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

func main() { os.Exit(run(os.Args[1:])) }

// run executes one command line and returns the exit code.
func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	a := &app{ctx: ctx, out: os.Stdout}
	p, err := newParser(a)
	if err == nil {
		_, err = p.ParseArgs(args)
	}
	var f *flags.Error
	if errors.As(err, &f) {
		if f.Type == flags.ErrHelp {
			_, _ = os.Stdout.WriteString(f.Message + "\n")
			return exitOK
		}
		err = &failure{Code: exitInvalid, Kind: "InvalidInput", Message: f.Message, Next: "tsctl --help lists the commands and options"}
	}
	if err == nil {
		return exitOK
	}
	return a.report(os.Stderr, err)
}

func newParser(a *app) (*flags.Parser, error) {
	p := flags.NewNamedParser("tsctl", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := p.AddGroup("General options", "", &a.options); err != nil {
		return nil, err
	}
	for _, c := range []struct {
		name, short, long string
		data              flags.Commander
	}{
		{"check", "Check documents", "Reports every error in the documents with file, line, key and accepted values.", &checkCommand{app: a}},
		{"put", "Store a document", "Checks a document and stores it under its digest; it is not used yet.", &putCommand{app: a}},
		{"try", "Put a stored document into trial", "VMs load the document in trial in addition to the one in production; callers are not affected.", &tryCommand{app: a}},
		{"diff", "Show differences between documents", "Compares a file with production, two files, or trial with production.", &diffCommand{app: a}},
		{"promote", "Put the document in trial into production", "Replaces the generation in production by the document in trial.", &promoteCommand{app: a}},
		{"status", "Show what is in trial and in production", "Reads the slots from the store and the state of the given VMs.", &statusCommand{app: a}},
		{"trial", "Show what the document in trial would change", "Adds up how VMs would decide sampled requests under the document in trial and under the one in production.", &trialCommand{app: a}},
		{"history", "Show promoted generations", "Lists the promoted generations of an environment, the newest first.", &historyCommand{app: a}},
		{"explain", "Explain why a request ended as it did", "Reads the logs of VMs and prints the events of a request, the server states that its VM had recorded, and the cause.", &explainCommand{app: a}},
		{"completion", "Print the completion script for bash", "Use it with: source <(tsctl completion)", &completionCommand{app: a}},
	} {
		if _, err := p.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			return nil, err
		}
	}
	return p, nil
}
