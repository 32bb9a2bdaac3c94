#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet_sim_internal.h"
#include "protocol/wire.h"
#include "util/alloc.h"
#include "util/invariant.h"
#include "util/log.h"

void fsim_event_push(struct fsim *s, struct fsim_event *e)
{
	struct fsim_event **at = &s->events;

	while (*at && (*at)->at <= e->at)
		at = &(*at)->next;
	e->next = *at;
	*at = e;
}

struct fsim_event *fsim_event_new(enum event_kind kind, int64_t at,
				  const struct fsim_instance *i)
{
	struct fsim_event *e = xcalloc(1, sizeof(*e));

	e->kind = kind;
	e->at = at;
	e->instance = (int)(i - i->sim->instances);
	e->incarnation = i->instance.id;
	return e;
}

void fsim_event_free(struct fsim_event *e)
{
	free(e->bytes);
	free((void *)(uintptr_t)e->lists.running);
	free((void *)(uintptr_t)e->lists.ended);
	free(e);
}

bool fsim_domains_reach(const struct fsim *s, int a, int b)
{
	return a == b || (!s->domain_cut[a] && !s->domain_cut[b]);
}

static bool instances_reach(const struct fsim *s, int a, int b)
{
	const struct fsim_instance *x = &s->instances[a];
	const struct fsim_instance *y = &s->instances[b];

	return !x->cut && !y->cut &&
	       fsim_domains_reach(s, x->domain, y->domain);
}

static struct fsim_instance *find_incarnation(struct fsim *s, uint64_t id)
{
	int i;

	for (i = 0; i < s->n_instances; i++)
		if (s->instances[i].fleet && s->instances[i].instance.id == id)
			return &s->instances[i];
	return NULL;
}

/* Callbacks of an instance. */

static int64_t sim_clock(void *ctx)
{
	struct fsim_instance *i = ctx;

	return i->sim->now;
}

static int64_t sim_wall_clock(void *ctx)
{
	struct fsim_instance *i = ctx;

	return i->sim->now + 1700000000000LL;
}

/* The port of an instance is its number. */
static void on_dial(void *ctx, const struct syc_addr *addr)
{
	struct fsim_instance *i = ctx;
	bool *dialled = &i->sim->dialled[i - i->sim->instances][addr->port];

	if (!*dialled)
		i->sim->links_due_at = i->sim->now + DIAL_MS;
	*dialled = true;
}

static void on_hang_up(void *ctx, const struct syc_addr *addr)
{
	struct fsim_instance *i = ctx;

	i->sim->dialled[i - i->sim->instances][addr->port] = false;
}

/* Repacks a heartbeat with the fields that the first version had. */
static void cut_newer_fields(struct fsim_event *e)
{
	struct syc_bytes msg = {e->bytes, e->len};
	auto_wire_out struct wire_out out = {0};
	struct wire_in in;
	int i;

	wire_open(&in, msg);
	wire_begin(&out, SYC_PEER_FLEET_HEARTBEAT, OLD_NUMBERS + OLD_FLAGS);
	for (i = 0; i < OLD_NUMBERS; i++)
		wire_put_u64(&out, wire_u64(&in));
	for (i = 0; i < OLD_FLAGS; i++)
		wire_put_bool(&out, wire_bool(&in));
	invariant(wire_close(&in));
	free(e->bytes);
	e->len = wire_bytes(&out).n;
	e->bytes = xmemdup(wire_bytes(&out).p, e->len);
}

/* Whether it is a job, whose damaged name would be that of another job. */
static bool carries_job(struct syc_bytes msg)
{
	int type = wire_type(msg);
	struct wire_in w;

	if (type == SYC_PEER_CELL) {
		wire_open(&w, msg);
		wire_u64(&w);
		type = wire_type(wire_view(&w));
		wire_close(&w);
	}
	return type == SYC_PEER_JOB;
}

static void send_damaged(struct fsim *s, struct fsim_instance *peer,
			 uint64_t from, struct syc_bytes msg)
{
	struct fsim_event *e = fsim_event_new(EVENT_MESSAGE, s->now + DELAY_MS,
					      peer);
	unsigned char *p = xmemdup(msg.p, msg.n);
	size_t i, n = rng_below(&s->rng, DAMAGED_BYTES_MAX);

	for (i = 0; i < n; i++)
		p[rng_below(&s->rng, msg.n)] = (unsigned char)rng_next(&s->rng);
	e->sender_or_tag = from;
	e->bytes = p;
	e->len = n ? msg.n : rng_below(&s->rng, msg.n);
	fsim_event_push(s, e);
}

static bool on_send(void *ctx, uint64_t to, struct syc_bytes msg)
{
	struct fsim_instance *i = ctx;
	struct fsim *s = i->sim;
	struct fsim_instance *peer = find_incarnation(s, to);
	struct fsim_event *e;
	int a = (int)(i - s->instances);

	if (!peer || !s->linked[a][peer - s->instances])
		return false;
	s->n_messages++;
	s->n_lists += wire_type(msg) == SYC_PEER_WORKERS;
	if (peer - s->instances == s->damaged && !carries_job(msg))
		send_damaged(s, peer, i->instance.id, msg);
	e = fsim_event_new(EVENT_MESSAGE, s->now + DELAY_MS, peer);
	e->sender_or_tag = i->instance.id;
	e->bytes = xmemdup(msg.p, msg.n);
	e->len = msg.n;
	if (s->first_is_old && !a && wire_type(msg) == SYC_PEER_FLEET_HEARTBEAT)
		cut_newer_fields(e);
	fsim_event_push(s, e);
	return true;
}

static void on_read_workers(void *ctx)
{
	struct fsim_instance *i = ctx;
	struct fsim *s = i->sim;
	struct fsim_event *e = fsim_event_new(EVENT_LIST, s->now + 5, i);

	s->n_list_reads++;
	if (s->store.silent || i->store->silent || s->lose_lists) {
		s->lose_lists -= s->lose_lists > 0;
		e->late = true;
		e->at = s->now + STORE_TIMEOUT_MS;
	}
	fsim_event_push(s, e);
}

static int64_t late_us(const struct fsim_instance *i)
{
	int64_t us = i->busy_until_us - i->sim->now * US_PER_MS;

	return us > 0 ? us : 0;
}

static uint32_t on_get_late_ms(void *ctx)
{
	const struct fsim_instance *i = ctx;

	return i->event_late_ms;
}

void fsim_use_processor(struct fsim_instance *i, uint32_t us)
{
	i->busy_until_us = i->sim->now * US_PER_MS + late_us(i) + us;
}

static struct drive_worker read_entry(const struct fsim *s,
				      const struct fsim_worker *w)
{
	struct drive_worker entry = w->info;

	if (s->now < w->new_entry_at)
		return w->old_entry;
	if (s->now < w->cold_until)
		entry.cold_ms = (uint32_t)(w->cold_until - s->now);
	return entry;
}

static void deliver_list(struct fsim *s, struct fsim_instance *i, bool lost)
{
	struct drive_worker list[FSIM_WORKERS];
	size_t n = 0;
	int k;

	if (lost || !fsim_reaches_store(s, i)) {
		cells_set_workers(i->cells, s->now, NULL, 0);
		return;
	}
	for (k = 0; k < FSIM_WORKERS; k++)
		if (s->workers[k].listed)
			list[n++] = read_entry(s, &s->workers[k]);
	cells_set_workers(i->cells, s->now, list, n);
}

static void handle_event(struct fsim *s, struct fsim_event *e)
{
	struct fsim_instance *i = &s->instances[e->instance];

	if (e->kind == EVENT_CALL) {
		fsim_execute_call(s, e);
		return;
	}
	if (!i->fleet || i->instance.id != e->incarnation) {
		fsim_event_free(e);
		return;
	}
	if (s->now < i->paused_until) {
		e->at = i->paused_until;
		fsim_event_push(s, e);
		return;
	}
	if (!e->arrived_at)
		e->arrived_at = s->now;
	if (late_us(i) >= US_PER_MS) {
		e->at = s->now + late_us(i) / US_PER_MS;
		fsim_event_push(s, e);
		return;
	}
	fsim_use_processor(i, s->event_us);
	i->event_late_ms = (uint32_t)(s->now - e->arrived_at);
	log_context_set(i->instance.name);
	if (e->kind == EVENT_MESSAGE) {
		struct syc_bytes msg = {e->bytes, e->len};
		struct fsim_instance *from = find_incarnation(s,
							      e->sender_or_tag);

		if (from && s->linked[from - s->instances][e->instance])
			cells_receive(i->cells, s->now, e->sender_or_tag, msg);
	} else if (e->kind == EVENT_ANSWER) {
		fsim_deliver_answer(s, i, e);
	} else if (e->kind == EVENT_CALLER_DISCONNECTED) {
		cells_cancel(i->cells, s->now, e->sender_or_tag);
	} else {
		deliver_list(s, i, e->late);
	}
	fsim_event_free(e);
}

/* Instances and links. */

struct fsim_client {
	struct fsim_client *next;
	struct fake_store_client store;
};

static struct fake_store_client *client_new(struct fsim *s)
{
	struct fsim_client *c = xcalloc(1, sizeof(*c));

	c->store.store = &s->store;
	c->next = s->clients;
	s->clients = c;
	return &c->store;
}

void fsim_start(struct fsim *s, int instance)
{
	struct fsim_instance *i = &s->instances[instance];
	struct fleet_options opt;

	if (i->fleet)
		return;
	i->instance.id = ++s->next_id;
	i->instance.peer_addr.port = (uint16_t)instance;
	snprintf(i->instance.name, sizeof(i->instance.name), "i%d", instance);
	i->store = client_new(s);
	opt = (struct fleet_options){
		.self = i->instance,
		.clock = {sim_clock, i},
		.wall_clock = {sim_wall_clock, i},
		.store = fake_store_ops(i->store),
		.config_key = "config",
		.config_apply_ms = FSIM_CONFIG_APPLY_MS,
		.evacuations_key = "evacuations",
		.evacuation_apply_ms = s->evacuates ? FSIM_CONFIG_APPLY_MS : 0,
		.divided_workers_min = FSIM_WORKERS -
				       FSIM_WORKERS / FSIM_DOMAINS,
		.cell_workers_min = s->divided ? FSIM_WORKERS / FSIM_DOMAINS
					       : 0,
		.capacity = i->capacity,
		.lease_ms = LEASE_MS,
		.hold_wait_ms = HOLD_WAIT_MS,
		.ctx = i,
		.dial = on_dial,
		.hang_up = on_hang_up,
		.send = on_send,
		.answer = fsim_on_answer,
		.cancelled = fsim_on_cancelled,
		.config = fsim_on_config,
		.read_workers = on_read_workers,
		.start = fsim_on_start,
		.stop = fsim_on_stop,
		.hold = fsim_on_hold,
		.get_late_ms = on_get_late_ms,
	};
	i->paused_until = 0;
	i->stops_at = 0;
	i->busy_until_us = 0;
	i->next_tick_at = 0;
	i->config_version = 0;
	i->store_reached_since = i->peer_reached_since = s->now;
	i->cells = cells_new(&opt, s->now);
	i->fleet = cells_whole(i->cells);
}

static void unlink_instances(struct fsim *s, int a, int b)
{
	s->linked[a][b] = false;
	if (s->instances[a].fleet)
		cells_peer_down(s->instances[a].cells, s->now,
				s->instances[b].instance.id);
}

void fsim_kill(struct fsim *s, int instance)
{
	struct fsim_instance *i = &s->instances[instance];
	int k;

	if (!i->fleet)
		return;
	log_info("killed", LOG_I("now", s->now), LOG_I("index", instance));
	fake_store_end_client(i->store);
	cells_free(i->cells);
	i->cells = NULL;
	i->fleet = NULL;
	for (k = 0; k < s->n_instances; k++) {
		s->linked[instance][k] = false;
		s->dialled[instance][k] = false;
		if (k != instance && s->linked[k][instance])
			unlink_instances(s, k, instance);
	}
}

void fsim_leave(struct fsim *s, int instance)
{
	if (s->instances[instance].fleet)
		cells_leave(s->instances[instance].cells, s->now, 0);
}

void fsim_stop(struct fsim *s, int instance)
{
	struct fsim_instance *i = &s->instances[instance];

	i->stops_at = s->now + FSIM_STOP_MS;
	cells_leave(i->cells, s->now, i->stops_at - FSIM_ANSWERS_MS);
}

static void note_cut(const struct fsim *s, struct fsim_contact *c, bool cut)
{
	if (!cut)
		c->since = s->now;
	else if (s->now - c->since >= FSIM_TELL_AGAIN_MS)
		c->until = s->now;
}

void fsim_pause(struct fsim *s, int instance, int64_t ms)
{
	struct fsim_instance *i = &s->instances[instance];

	log_info("paused", LOG_I("index", instance), LOG_I("for_ms", ms));
	i->paused_until = s->now + ms;
	if (!i->cut)
		note_cut(s, &i->contact, true);
	i->contact.since = i->paused_until;
}

void fsim_cut_domain(struct fsim *s, int domain, bool cut)
{
	int k;

	if (s->domain_cut[domain] == cut)
		return;
	log_info("domain_cut", LOG_I("domain", domain), LOG_I("cut", cut));
	for (k = 0; k < FSIM_DOMAINS; k++) {
		if (k == domain || s->domain_cut[k])
			continue;
		note_cut(s, &s->domain_contact[domain][k], cut);
		note_cut(s, &s->domain_contact[k][domain], cut);
	}
	s->domain_cut[domain] = cut;
}

void fsim_cut_instance(struct fsim *s, int instance, bool cut)
{
	struct fsim_instance *i = &s->instances[instance];

	if (i->cut == cut)
		return;
	log_info("instance_cut", LOG_I("index", instance), LOG_I("cut", cut));
	note_cut(s, &i->contact, cut);
	i->cut = cut;
}

/* Another life of the worker, which mostly is the younger one by its clock. */
static void keep_name(struct fsim *s, struct fsim_worker *w,
		      const struct drive_worker *earlier)
{
	w->old_entry = *earlier;
	w->new_entry_at = s->now + (int64_t)rng_below(&s->rng, ENTRY_LAG_MS);
	copy_text(w->info.name, sizeof(w->info.name), earlier->name);
	w->info.born_ms = s->now;
	if (!rng_below(&s->rng, 4))
		w->info.born_ms -= (int64_t)rng_below(&s->rng, BORN_SPREAD_MS);
}

void fsim_restart_worker(struct fsim *s, int worker)
{
	struct fsim_worker *w = &s->workers[worker];
	struct drive_worker earlier = w->info;
	int domain = w->domain;
	bool cut = w->cut;

	fsim_count_crash(s, w);
	memset(w, 0, sizeof(*w));
	w->began_at = s->now;
	w->domain = domain;
	w->cut = cut;
	w->up = w->listed = true;
	w->clock_offset_ms = (int64_t)rng_below(&s->rng, 1000000);
	w->info.cpu_milli = 16000;
	w->info.memory_mb = 65536;
	snprintf(w->info.name, sizeof(w->info.name), "w%d-%llu", worker,
		 (unsigned long long)++s->next_id);
	snprintf(w->info.domain, sizeof(w->info.domain), "d%d", domain);
	copy_text(w->info.service, sizeof(w->info.service), "s");
	copy_text(w->info.addr.ip, sizeof(w->info.addr.ip), "10.0.0.1");
	w->info.addr.port = (uint16_t)(worker + 1);
	if (s->keeps_names)
		keep_name(s, w, &earlier);
}

void fsim_keep_names(struct fsim *s)
{
	int k;

	s->keeps_names = true;
	for (k = 0; k < FSIM_WORKERS; k++)
		s->workers[k].info.born_ms = s->now;
	/* Until all instances have a list that says it. */
	fsim_run(s, LIST_MS);
}

void fsim_crash_worker(struct fsim *s, int worker)
{
	struct fsim_worker *w = &s->workers[worker];

	fsim_count_crash(s, w);
	w->n_runs = 0;
	w->up = false;
	w->restarts_at = s->now + RESTART_MS;
}

void fsim_set_listed(struct fsim *s, int worker, bool listed)
{
	s->workers[worker].listed = listed;
}

static void open_links(struct fsim *s)
{
	int a, b;

	for (a = 0; a < s->n_instances; a++) {
		for (b = 0; b < s->n_instances; b++) {
			bool can_link = a != b && s->instances[a].fleet &&
					s->instances[b].fleet &&
					(s->dialled[a][b] ||
					 s->dialled[b][a]) &&
					instances_reach(s, a, b);

			if (can_link && !s->linked[a][b]) {
				s->linked[a][b] = true;
				cells_peer_up(s->instances[a].cells, s->now,
					      &s->instances[b].instance);
			} else if (!can_link && s->linked[a][b]) {
				unlink_instances(s, a, b);
			}
		}
	}
}

/* Closes the links over a cut at once. open_links opens them again. */
static void close_cut_links(struct fsim *s)
{
	int a, b;

	for (a = 0; a < s->n_instances; a++)
		for (b = 0; b < s->n_instances; b++)
			if (s->linked[a][b] && !instances_reach(s, a, b))
				unlink_instances(s, a, b);
}

static void tick_worker(struct fsim *s, int k)
{
	struct fsim_worker *w = &s->workers[k];
	size_t i;

	if (w->restarts_at && s->now >= w->restarts_at)
		fsim_restart_worker(s, k);
	for (i = 0; i < w->n_runs; i++)
		if (w->runs[i].crashes_at && s->now >= w->runs[i].crashes_at)
			break;
	if (i < w->n_runs)
		fsim_crash_worker(s, k);
	fsim_worker_tick(s, w);
}

static void advance_one_ms(struct fsim *s)
{
	size_t i;
	int k;

	s->now++;
	log_clock_set(s->now);
	close_cut_links(s);
	if (s->now % LINK_INTERVAL_MS == 0 || s->now == s->links_due_at)
		open_links(s);
	for (k = 0; k < s->n_instances; k++)
		s->instances[k].store->paused = s->now <
						s->instances[k].paused_until;
	fake_store_run(&s->store, s->now);
	for (k = 0; k < FSIM_WORKERS; k++)
		tick_worker(s, k);
	while (s->events && s->events->at <= s->now) {
		struct fsim_event *e = s->events;

		s->events = e->next;
		handle_event(s, e);
	}
	for (k = 0; k < s->n_instances; k++) {
		struct fsim_instance *in = &s->instances[k];

		if (in->fleet && s->now >= in->paused_until &&
		    (s->now + k) % TICK_MS == 0 && s->now >= in->next_tick_at) {
			/* A late loop reaches its timers once a turn. */
			in->next_tick_at = s->now + late_us(in) / US_PER_MS;
			log_context_set(in->instance.name);
			cells_tick(in->cells, s->now);
		}
		if (in->fleet && in->stops_at && s->now >= in->stops_at)
			fsim_kill(s, k);
	}
	for (i = 0; i < s->n_jobs; i++)
		fsim_tick_caller(s, &s->jobs[i]);
	fsim_check_configs(s);
}

void fsim_run(struct fsim *s, int64_t ms)
{
	int64_t until = s->now + ms;

	while (s->now < until)
		advance_one_ms(s);
}

int fsim_find_driver(const struct fsim *s)
{
	int k;

	for (k = 0; k < s->n_instances; k++)
		if (s->instances[k].cells &&
		    fleet_is_driver(cells_own(s->instances[k].cells)))
			return k;
	return -1;
}

int fsim_find_driver_of(const struct fsim *s, int domain)
{
	int k;

	for (k = 0; k < s->n_instances; k++)
		if (s->instances[k].domain == domain && s->instances[k].cells &&
		    fleet_is_driver(cells_own(s->instances[k].cells)))
			return k;
	return -1;
}

size_t fsim_count_outcomes(const struct fsim *s, enum fleet_outcome outcome)
{
	size_t i, n = 0;

	for (i = 0; i < s->n_jobs; i++)
		n += s->jobs[i].answered && s->jobs[i].outcome == outcome;
	return n;
}

struct sim_options {
	bool divided, first_is_old, evacuates;
	int n_instances;
};

static struct fsim *sim_create(uint64_t seed, const struct sim_options *opt)
{
	struct fsim *s = xcalloc(1, sizeof(*s));
	int k;

	s->divided = opt->divided;
	s->damaged = -1;
	s->first_is_old = opt->first_is_old;
	s->evacuates = opt->evacuates;
	s->objective_add_ms = 1000;
	s->deadline_ms = DEADLINE_MS;
	s->n_instances = opt->n_instances;

	s->rng.state = seed;
	s->store.rng.state = seed + 1;
	s->store.delay_ms = 2;
	s->store.timeout_ms = STORE_TIMEOUT_MS;
	fsim_put_config(s);
	if (s->evacuates)
		fsim_init_evacuations(s);
	s->now = 1000000;
	s->store.now = s->now;
	for (k = 0; k < FSIM_WORKERS; k++) {
		s->workers[k].domain = k % FSIM_DOMAINS;
		fsim_restart_worker(s, k);
	}
	for (k = 0; k < s->n_instances; k++) {
		s->instances[k].sim = s;
		/* The earlier version is not to decide on the division. */
		s->instances[k].capacity = s->first_is_old && k;
		s->instances[k].domain = k % FSIM_DOMAINS;
		snprintf(s->instances[k].instance.domain, SYC_NAME_MAX, "d%d",
			 k % FSIM_DOMAINS);
		fsim_start(s, k);
	}
	return s;
}

static struct fsim *sim_new(uint64_t seed, const struct sim_options *opt)
{
	struct fsim *s = sim_create(seed, opt);

	fsim_run(s, START_MS);
	return s;
}

struct fsim *fsim_new(uint64_t seed)
{
	const struct sim_options opt = {.n_instances = FSIM_INSTANCES};

	return sim_new(seed, &opt);
}

struct fsim *fsim_new_divided(uint64_t seed)
{
	const struct sim_options opt = {
		.divided = true,
		.n_instances = FSIM_INSTANCES_DIVIDED,
	};

	return sim_new(seed, &opt);
}

struct fsim *fsim_new_divided_with_old(uint64_t seed)
{
	const struct sim_options opt = {
		.divided = true,
		.first_is_old = true,
		.n_instances = FSIM_INSTANCES_DIVIDED,
	};

	return sim_new(seed, &opt);
}

struct fsim *fsim_new_evacuating(uint64_t seed, bool divided)
{
	const struct sim_options opt = {
		.divided = divided,
		.evacuates = true,
		.n_instances = divided ? FSIM_INSTANCES_DIVIDED
				       : FSIM_INSTANCES,
	};

	return sim_new(seed, &opt);
}

struct fsim *fsim_new_large(uint64_t seed, int n)
{
	const struct sim_options opt = {.divided = true, .n_instances = n};

	return sim_new(seed, &opt);
}

struct fsim *fsim_new_without_workers(uint64_t seed, int n)
{
	const struct sim_options opt = {.divided = true, .n_instances = n};
	struct fsim *s = sim_create(seed, &opt);
	int k;

	for (k = FSIM_DOMAINS - 1; k < FSIM_WORKERS; k += FSIM_DOMAINS)
		s->workers[k].listed = false;
	fsim_run(s, START_MS);
	return s;
}

void fsim_free(struct fsim *s)
{
	struct fsim_client *c;
	struct fsim_event *e;
	int k;

	for (k = 0; k < s->n_instances; k++)
		fsim_kill(s, k);
	while ((e = s->events)) {
		s->events = e->next;
		fsim_event_free(e);
	}
	fake_store_run(&s->store, s->now + 1000000);
	while ((c = s->clients)) {
		s->clients = c->next;
		free(c);
	}
	for (k = 0; k < (int)s->store.n_keys; k++) {
		free(s->store.keys[k].val);
		free(s->store.keys[k].old_val);
	}
	free(s);
}
