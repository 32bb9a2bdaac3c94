/* Starts the processes of the soak, and notices their ends. */
#include <fcntl.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <unistd.h>

#include "soak.h"
#include "transport/address.h"
#include "util/alloc.h"
#include "util/cleanup.h"
#include "util/invariant.h"

enum {
	ARGS_MAX = 12,
	ASK_TIMEOUT_MS = 3000,
	START_MAX_MS = 5000,
	PORT_MIN = 10000,
	PORTS = 20000,
	/* Before it is in main, a process cannot handle a signal. */
	EXEC_MAX_MS = 100
};

static void on_ended(struct ev_loop *loop, ev_child *w, int revents)
{
	struct soak_process *p = w->data;
	int64_t now = proxy_now_ms();
	bool stopped_well = WIFEXITED(w->rstatus) && !WEXITSTATUS(w->rstatus);

	ev_child_stop(loop, w);
	p->pid = 0;
	if (!p->expects_end)
		soak_violation(p->soak, "%s ended by itself, status %d",
			       p->name, w->rstatus);
	else if (p->stop_sent_at && !p->was_killed && !stopped_well &&
		 p->disturbed_at == p->stop_sent_at &&
		 p->stop_sent_at - p->started_at > EXEC_MAX_MS)
		soak_violation(p->soak, "%s: planned stop with status %d",
			       p->name, w->rstatus);
	p->disturbed_at = now;
}

static void spawn(struct soak *s, struct soak_process *p,
		  const char *const *args)
{
	char log[SOAK_PATH_MAX + 32];
	int fd;

	snprintf(log, sizeof(log), "%s/%s.out", s->dir, p->name);
	p->soak = s;
	p->expects_end = p->was_killed = false;
	p->stop_sent_at = 0;
	p->started_at = p->disturbed_at = proxy_now_ms();
	p->pid = fork();
	invariant(p->pid >= 0);
	if (!p->pid) {
		/* An interrupted soak leaves no process behind. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		execv(args[0], (char *const *)(uintptr_t)args);
		_exit(127);
	}
	ev_child_init(&p->child, on_ended, p->pid, 0);
	p->child.data = p;
	ev_child_start(s->loop, &p->child);
}

void soak_signal(struct soak_process *p, int signum)
{
	if (!p->pid)
		return;
	p->disturbed_at = proxy_now_ms();
	if (signum == SIGHUP && p->disturbed_at - p->started_at < EXEC_MAX_MS)
		return;
	if (signum == SIGTERM && !p->stop_sent_at)
		p->stop_sent_at = p->disturbed_at;
	p->expects_end |= signum == SIGTERM || signum == SIGKILL;
	p->was_killed |= signum == SIGKILL;
	kill(p->pid, signum);
}

/*
 * A port below those that the system gives to clients, as one of these could
 * take the port while its instance is down.
 */
static uint16_t find_free_port(void)
{
	static uint16_t next;
	struct syc_addr addr = {"127.0.0.1", 0};
	uint16_t port;
	int fd;

	if (!next)
		next = (uint16_t)(PORT_MIN + getpid() * 131 % PORTS);
	do {
		if (++next >= PORT_MIN + PORTS)
			next = PORT_MIN;
		addr.port = next;
	} while (addr_listen(&addr, &fd, &port));
	close(fd);
	return port;
}

/* Waits for `text` in the process's output; returns what follows it. */
static bool wait_for_output(struct soak *s, const struct soak_process *p,
			    const char *text, char *line, size_t size)
{
	char path[SOAK_PATH_MAX + 32];
	int64_t until = proxy_now_ms() + START_MAX_MS;
	const char *found = NULL;
	FILE *f;

	snprintf(path, sizeof(path), "%s/%s.out", s->dir, p->name);
	while (!found && proxy_now_ms() < until) {
		soak_run(s, 20);
		f = fopen(path, "re");
		while (f && !found && fgets(line, (int)size, f))
			found = strstr(line, text);
		if (f)
			fclose(f);
	}
	if (found)
		memmove(line, found + strlen(text),
			strlen(found + strlen(text)) + 1);
	return found;
}

static void open_worker_proxies(struct soak *s)
{
	char text[32], line[256];
	int i;

	for (i = 0; i < s->n_workers; i++) {
		snprintf(text, sizeof(text), "worker w%d ", i);
		invariant(wait_for_output(s, &s->platform, text, line,
					  sizeof(line)));
		s->workers[i].to_port = (uint16_t)strtoul(line, NULL, 10);
	}
}

void soak_start_platform(struct soak *s)
{
	char program[SOAK_PATH_MAX + 16], workers[16], line[256];
	char ports[SOAK_WORKERS_MAX * 8] = "";
	const char *args[ARGS_MAX] = {program,	 "fleet", "--workers", workers,
				      "--ports", ports,	  NULL};
	size_t n = 0;
	int i;

	for (i = 0; i < s->n_workers; i++) {
		proxy_open(&s->workers[i], s->loop);
		n += (size_t)snprintf(ports + n, sizeof(ports) - n, "%u,",
				      s->workers[i].port);
	}
	snprintf(program, sizeof(program), "%s/standin", s->build);
	snprintf(workers, sizeof(workers), "%d", s->n_workers);
	copy_text(s->platform.name, sizeof(s->platform.name), "platform");
	spawn(s, &s->platform, args);
	invariant(wait_for_output(s, &s->platform, "listening 127.0.0.1:", line,
				  sizeof(line)));
	s->store_port = (uint16_t)strtoul(line, NULL, 10);
	open_worker_proxies(s);
}

static void write_settings(struct soak *s, const struct soak_instance *i,
			   const char *path)
{
	FILE *f = fopen(path, "we");

	invariant(f);
	fprintf(f,
		"[instance]\nname = %s\ndomain = d%d\n"
		"[listen]\ncallers = 127.0.0.1:%u\npeers = 127.0.0.1:%u\n"
		"admin = 127.0.0.1:%u\n[cluster]\nname = soak %d\n"
		"[platform]\nstore = 127.0.0.1:%u\n"
		"[cells]\nfleet_workers_min = 2\nworkers_min = %d\n"
		"[log]\nlevel = %s\n",
		i->process.name, i->domain, i->callers_port, i->peers_port,
		i->admin_port, (int)getpid(), i->store.port, s->divided ? 2 : 0,
		i->settings_version % 2 ? "warn" : "info");
	fclose(f);
}

void soak_start_instance(struct soak *s, struct soak_instance *i)
{
	char program[SOAK_PATH_MAX + 16], path[SOAK_PATH_MAX + 32];
	const char *args[ARGS_MAX] = {program, "fleet", "--settings", path,
				      NULL};

	if (i->process.pid)
		return;
	if (!i->callers_port) {
		i->callers_port = find_free_port();
		i->peers_port = find_free_port();
		i->admin_port = find_free_port();
		proxy_open(&i->callers, s->loop);
		proxy_open(&i->store, s->loop);
		i->callers.to_port = i->callers_port;
		i->store.to_port = s->store_port;
	}
	snprintf(program, sizeof(program), "%s/sycamoreshore", s->build);
	snprintf(path, sizeof(path), "%s/%s.conf", s->dir, i->process.name);
	write_settings(s, i, path);
	i->start_at = i->continue_at = 0;
	spawn(s, &i->process, args);
}

struct ask {
	const char *member;
	long val;
	int done;
};

static void on_asked(void *arg, const struct http_answer *a)
{
	struct ask *ask = arg;
	json_t *obj = NULL;

	if (a->end == HTTP_ANSWERED)
		obj = json_loadb(a->body.p, a->body.n, 0, NULL);
	ask->val = obj && ask->member
			   ? (long)json_integer_value(
				     json_object_get(obj, ask->member))
			   : -1;
	json_decref(obj);
	ask->done = 1;
}

long soak_ask(struct soak *s, const char *method, const char *path,
	      const char *member)
{
	struct ask ask = {.member = member, .val = -1};
	struct http_call call = {
		.method = method,
		.addr = {"127.0.0.1", s->store_port},
		.path = path,
		.timeout_ms = ASK_TIMEOUT_MS,
		.body_max = 4096,
	};

	http_client_send(s->client, &call, on_asked, &ask);
	while (!ask.done)
		ev_run(s->loop, EVRUN_ONCE);
	return ask.val;
}

void soak_set_knob(struct soak *s, const char *name, long val)
{
	char path[64];

	snprintf(path, sizeof(path), "/standin/knobs?%s=%ld", name, val);
	soak_ask(s, "PUT", path, NULL);
}
