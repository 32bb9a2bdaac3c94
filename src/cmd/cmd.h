/* The subcommands. Each reads its own arguments and returns an exit code. */
#ifndef CMD_CMD_H
#define CMD_CMD_H

/* Exit codes, as documented in the man page. */
enum cmd_exit {
	EXIT_DONE = 0,
	EXIT_FAILED = 1, /* the command was carried out and failed */
	EXIT_USAGE = 2, /* invalid arguments, settings or bundle text */
	EXIT_UNREACHABLE = 3, /* the instance or the store did not answer */
	EXIT_CONFLICT = 4 /* another operator changed the bundle first */
};

int cmd_entry(int argc, const char **argv);
int cmd_fleet(int argc, const char **argv);
int cmd_explain(int argc, const char **argv);
int cmd_bundle(int argc, const char **argv);
int cmd_state(int argc, const char **argv);
int cmd_report(int argc, const char **argv);
int cmd_load(int argc, const char **argv);
int cmd_jobs(int argc, const char **argv);

#endif
