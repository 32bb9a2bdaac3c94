/* The HTTP server of a target stand-in. */
#include <arpa/inet.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "target.h"

enum {
	TARGET_BODY_MAX = 16 * 1024 * 1024, /* bytes */
	TARGET_CONNS_MAX = 4096,
	DIRECTIVE_MAX = 4096 /* bytes of a body that is parsed for run_ms */
};

enum MHD_Result target_reply(struct target_request *r, unsigned status,
			     const char *body, size_t len, bool not_run)
{
	struct MHD_Response *resp = MHD_create_response_from_buffer(
		len, (void *)(uintptr_t)body, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result res;

	if (not_run)
		MHD_add_response_header(resp, "Sycamoreshore-Not-Run", "1");
	res = MHD_queue_response(r->conn, status, resp);
	MHD_destroy_response(resp);
	return res;
}

/* Writes `text` to the socket, bypassing MHD, and closes the connection. */
static enum MHD_Result close_abruptly(struct target_request *r,
				      const char *text)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		r->conn, MHD_CONNECTION_INFO_CONNECTION_FD);

	if (send(info->connect_fd, text, strlen(text), MSG_NOSIGNAL) < 0)
		perror("standin: send");
	shutdown(info->connect_fd, SHUT_RDWR);
	return MHD_NO;
}

/*
 * Returns the run time in ms that the body states, or else that of the knobs.
 */
static long run_time_ms(const struct target_request *r)
{
	long ms = r->target->knobs.run_ms;
	json_t *doc, *val;

	if (!r->len || r->len > DIRECTIVE_MAX || r->body[0] != '{')
		return ms;
	doc = json_loadb(r->body, r->len, 0, NULL);
	val = json_object_get(doc, "run_ms");
	if (json_is_number(val))
		ms = (long)json_number_value(val);
	json_decref(doc);
	return ms;
}

static void count_start(struct target_request *r)
{
	struct target *t = r->target;
	const char *task = MHD_lookup_connection_value(r->conn, MHD_HEADER_KIND,
						       "Sycamoreshore-Task");

	t->starts++;
	if (t->knobs.leaving)
		t->starts_leaving++;
	if (task)
		tally_add(&t->all->tasks, task, strlen(task));
	if (r->len)
		tally_add(&t->all->bodies, r->body, r->len);
	r->running = true;
	if (++t->running > t->most_running)
		t->most_running = t->running;
}

static void stop_running(struct target_request *r)
{
	if (r->running)
		r->target->running--;
	r->running = false;
}

static enum MHD_Result end_task(struct target_request *r)
{
	stop_running(r);
	if (r->target->knobs.die)
		return close_abruptly(r, "HTTP/1.1 200 OK\r\n"
					 "Content-Length: 1000\r\n\r\npart");
	return target_reply(r, 200, r->body ? r->body : "", r->len, false);
}

static void on_run_end(struct ev_loop *loop, ev_timer *w, int events)
{
	struct target_request *r = w->data;

	r->ended = true;
	MHD_resume_connection(r->conn);
	ev_feed_event(loop, &r->target->io, EV_READ);
}

static enum MHD_Result start_task(struct target_request *r)
{
	struct target *t = r->target;
	const struct target_knobs *k = &t->knobs;
	long ms;

	if (k->garbage)
		return close_abruptly(r, "220 this is no HTTP\r\n");
	if (k->refuse || (k->slots && t->running >= (uint64_t)k->slots)) {
		t->refused++;
		return target_reply(r, 503, "not run\n", 8, true);
	}
	count_start(r);
	if (k->fail) {
		stop_running(r);
		return target_reply(r, 500, "failed\n", 7, false);
	}
	ms = run_time_ms(r);
	if (ms <= 0 && !k->hang)
		return end_task(r);
	MHD_suspend_connection(r->conn);
	if (k->hang)
		return MHD_YES;
	r->timer.data = r;
	ev_timer_init(&r->timer, on_run_end, (double)ms / 1000, 0);
	ev_timer_start(t->all->loop, &r->timer);
	return MHD_YES;
}

static enum MHD_Result add_body(struct target_request *r, const char *data,
				size_t n)
{
	size_t cap = r->cap ? r->cap : 1024;

	if (r->len + n > TARGET_BODY_MAX)
		return MHD_NO;
	while (cap < r->len + n)
		cap *= 2;
	if (cap > r->cap) {
		r->body = realloc(r->body, cap);
		if (!r->body)
			abort();
		r->cap = cap;
	}
	memcpy(r->body + r->len, data, n);
	r->len += n;
	return MHD_YES;
}

static enum MHD_Result on_access(void *ctx, struct MHD_Connection *conn,
				 const char *url, const char *method,
				 const char *version, const char *data,
				 size_t *data_size, void **state)
{
	struct target_request *r = *state;
	enum MHD_Result res;

	if (!r) {
		r = calloc(1, sizeof(*r));
		if (!r)
			return MHD_NO;
		r->target = ctx;
		r->conn = conn;
		*state = r;
		return MHD_YES;
	}
	if (*data_size) {
		res = add_body(r, data, *data_size);
		*data_size = 0;
		return res;
	}
	if (r->ended)
		return end_task(r);
	if (!strncmp(url, "/standin/", 9))
		return target_control(r, method, url);
	return start_task(r);
}

static void on_completed(void *ctx, struct MHD_Connection *conn, void **state,
			 enum MHD_RequestTerminationCode code)
{
	struct target_request *r = *state;

	if (!r)
		return;
	stop_running(r);
	ev_timer_stop(r->target->all->loop, &r->timer);
	free(r->body);
	free(r);
	*state = NULL;
}

/* Runs MHD and sets the timer for its next timeout, if it has one. */
static void run_daemon(struct target *t)
{
	MHD_UNSIGNED_LONG_LONG ms;

	MHD_run(t->daemon);
	ev_timer_stop(t->all->loop, &t->mhd_timer);
	if (MHD_get_timeout(t->daemon, &ms) != MHD_YES)
		return;
	ev_timer_set(&t->mhd_timer, (double)ms / 1000, 0);
	ev_timer_start(t->all->loop, &t->mhd_timer);
}

static void on_io(struct ev_loop *loop, ev_io *w, int events)
{
	run_daemon(w->data);
}

static void on_mhd_timeout(struct ev_loop *loop, ev_timer *w, int events)
{
	run_daemon(w->data);
}

bool target_listen(struct target *t, const char *ip, uint16_t port)
{
	struct sockaddr_in sin = {.sin_family = AF_INET,
				  .sin_port = htons(port)};

	if (inet_pton(AF_INET, ip, &sin.sin_addr) != 1)
		return false;
	t->daemon = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
		on_access, t, MHD_OPTION_SOCK_ADDR, &sin,
		MHD_OPTION_CONNECTION_LIMIT, (unsigned)TARGET_CONNS_MAX,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
		MHD_OPTION_END);
	if (!t->daemon)
		return false;
	t->port =
		MHD_get_daemon_info(t->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
	ev_io_init(&t->io, on_io,
		   MHD_get_daemon_info(t->daemon, MHD_DAEMON_INFO_EPOLL_FD)
			   ->epoll_fd,
		   EV_READ);
	ev_timer_init(&t->mhd_timer, on_mhd_timeout, 0, 0);
	t->io.data = t;
	t->mhd_timer.data = t;
	ev_io_start(t->all->loop, &t->io);
	return true;
}
