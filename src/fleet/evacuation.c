#include "fleet/evacuation.h"

#include <stdlib.h>
#include <string.h>

#include "fleet/fleet_state.h"
#include "util/alloc.h"
#include "util/buf.h"

static bool is_in_use(const struct fleet *f)
{
	return f->opt.evacuation_apply_ms > 0;
}

static int compare(const void *a, const void *b)
{
	const struct evacuation *x = a, *y = b;

	return strcmp(x->domain, y->domain);
}

static const struct evacuation *find(const struct evacuations *e,
				     const char *domain)
{
	size_t i;

	for (i = 0; i < e->n; i++)
		if (!strcmp(e->list[i].domain, domain))
			return &e->list[i];
	return NULL;
}

/* Returns false if the set is full. */
static bool add(struct evacuations *e, const char *name, size_t len,
		int64_t now)
{
	struct evacuation *new = &e->list[e->n];
	char domain[SYC_NAME_MAX] = "";

	if (!len || len >= SYC_NAME_MAX)
		return true;
	memcpy(domain, name, len);
	if (find(e, domain))
		return true;
	if (e->n == DRIVE_DOMAINS_MAX)
		return false;
	*new = (struct evacuation){.learned_at = now};
	copy_text(new->domain, sizeof(new->domain), domain);
	e->n++;
	return true;
}

/* Reads the names, one a line; returns how many there is no room for. */
static size_t read_names(struct evacuations *e, struct syc_bytes text,
			 int64_t now)
{
	const char *p = text.p, *end = p + text.n, *line_end;
	size_t n_left_out = 0;

	for (; p < end; p = line_end + 1) {
		line_end = memchr(p, '\n', (size_t)(end - p));
		if (!line_end)
			line_end = end;
		n_left_out += !add(e, p, (size_t)(line_end - p), now);
	}
	qsort(e->list, e->n, sizeof(*e->list), compare);
	return n_left_out;
}

static bool is_same_set(const struct evacuations *a,
			const struct evacuations *b)
{
	size_t i;

	for (i = 0; i < a->n && i < b->n; i++)
		if (compare(&a->list[i], &b->list[i]))
			return false;
	return a->n == b->n;
}

/* Whether the domain has workers or a cell, as far as this instance knows. */
static bool is_known_domain(const struct fleet *f, const char *domain)
{
	size_t i;

	for (i = 0; i < f->n_workers; i++)
		if (!strcmp(f->workers[i].domain, domain))
			return true;
	for (i = 0; i < f->map.n_cells; i++)
		if (!strcmp(f->map.cells[i], domain))
			return true;
	return !f->workers_known && !f->map.n_cells;
}

static void log_requested(const struct fleet *f, const char *domain,
			  const char *from)
{
	log_info("evacuation_requested", LOG_S("domain", domain),
		 LOG_S("from", from),
		 LOG_U("revision", f->evacuations.watch.index));
	if (!is_known_domain(f, domain))
		log_warn("evacuation_of_unknown_domain",
			 LOG_S("domain", domain));
}

/* Logs what differs; a request that goes on keeps when it was learned. */
static void compare_sets(const struct fleet *f, struct evacuations *next,
			 const char *from, int64_t now)
{
	const struct evacuations *old = &f->evacuations;
	const struct evacuation *known;
	size_t i;

	for (i = 0; i < next->n; i++) {
		known = find(old, next->list[i].domain);
		if (known)
			next->list[i] = *known;
		else
			log_requested(f, next->list[i].domain, from);
	}
	for (i = 0; i < old->n; i++)
		if (!find(next, old->list[i].domain))
			log_info("evacuation_ended",
				 LOG_S("domain", old->list[i].domain),
				 LOG_S("from", from),
				 LOG_I("after_ms",
				       now - old->list[i].learned_at));
}

static void adopt(struct fleet *f, struct syc_bytes text, const char *from)
{
	struct evacuations *e = &f->evacuations, next = {.n = 0};
	int64_t now = syc_now(&f->opt.clock);
	size_t n_left_out = read_names(&next, text, now);

	if (e->n_changes && is_same_set(e, &next))
		return;
	if (n_left_out)
		log_error("evacuations_too_many", LOG_U("kept", next.n),
			  LOG_U("left_out", n_left_out));
	compare_sets(f, &next, from, now);
	e->n = next.n;
	memcpy(e->list, next.list, sizeof(e->list));
	e->n_changes++;
	heartbeat_send_all(f, now);
}

static void on_changed(void *ctx, const struct syc_platform_value *v)
{
	struct fleet *f = ctx;

	if (v->status == SYC_PLATFORM_OK)
		adopt(f, v->value, "store");
	else
		log_warn("evacuations_absent");
}

/* The map's watch, of the same store, logs it. */
static void on_reachable(void *ctx, bool reachable, const char *why)
{
	(void)ctx;
	(void)reachable;
	(void)why;
}

void evacuation_init(struct fleet *f, int64_t now)
{
	struct key_watch_options opt = {
		.store = f->opt.store,
		.clock = f->opt.clock,
		.bound_ms = f->opt.evacuation_apply_ms,
		.index_rises = true,
		.id = f->opt.self.id,
		.ctx = f,
		.changed = on_changed,
		.reachable = on_reachable,
	};

	if (!is_in_use(f))
		return;
	copy_text(opt.key, sizeof(opt.key), f->opt.evacuations_key);
	key_watch_init(&f->evacuations.watch, &opt, now);
	drive_set_evacuated(f->drive, now, NULL);
}

static void get_domains(const struct evacuations *e,
			struct drive_domains *domains)
{
	size_t i;

	*domains = (struct drive_domains){.n = e->n};
	for (i = 0; i < e->n; i++)
		copy_text(domains->names[i], sizeof(domains->names[i]),
			  e->list[i].domain);
}

static void tell_drive(struct fleet *f, int64_t now)
{
	const struct evacuations *e = &f->whole->evacuations;
	struct drive_domains domains;

	if (f->evacuations_told == e->n_changes)
		return;
	f->evacuations_told = e->n_changes;
	get_domains(e, &domains);
	drive_set_evacuated(f->drive, now, &domains);
}

/* Tells operators, once no start can come any more, when the last one was. */
static void log_last_start(const struct fleet *f, struct evacuation *e,
			   int64_t now)
{
	int64_t last;

	if (e->last_start_logged ||
	    now - e->learned_at < (int64_t)f->opt.evacuation_apply_ms)
		return;
	e->last_start_logged = true;
	last = drive_get_last_start(f->drive, e->domain);
	if (!last)
		log_info("evacuation_no_start", LOG_S("domain", e->domain));
	else if (last > 0)
		log_info("evacuation_last_start", LOG_S("domain", e->domain),
			 LOG_I("after_ms", last - e->learned_at));
}

void evacuation_tick(struct fleet *f, int64_t now)
{
	struct evacuations *e = &f->whole->evacuations;
	size_t i;

	if (!is_in_use(f))
		return;
	if (f == f->whole)
		key_watch_tick(&e->watch, now, f->role);
	tell_drive(f, now);
	for (i = 0; i < e->n && drive_is_active(f->drive); i++)
		log_last_start(f, &e->list[i], now);
}

bool evacuation_has(const struct fleet *f, const char *domain)
{
	return find(&f->evacuations, domain) != NULL;
}

void evacuation_put_fields(const struct fleet *f, int64_t now,
			   struct wire_out *w)
{
	const struct evacuations *e = &f->whole->evacuations;
	auto_buf struct buf names = {0};
	size_t i, n = is_in_use(f) ? e->n : 0;

	for (i = 0; i < n; i++)
		buf_printf(&names, "%s\n", e->list[i].domain);
	wire_put_u64(w, e->n_changes ? e->watch.index : 0);
	wire_put_u64(w, heartbeat_get_age_ms(&e->watch, now));
	wire_put_bytes(w, names.data ? names.data : "", names.len);
}

void evacuation_read_fields(struct fleet *f, int64_t echo_ms, struct wire_in *w)
{
	struct fleet *whole = f->whole;
	struct key_watch *watch = &whole->evacuations.watch;
	uint64_t index = wire_u64(w);
	int64_t age_ms = (int64_t)wire_u64(w);
	struct syc_bytes names = wire_view(w);

	if (w->failed || !index || !is_in_use(f))
		return;
	if (index > watch->index) {
		key_watch_learned(watch, syc_now(&f->opt.clock), index);
		adopt(whole, names, "peer");
	}
	/* What is known includes all that an older revision does. */
	heartbeat_accept_age(f, watch, echo_ms, age_ms);
}

void fleet_get_evacuations(const struct fleet *f, struct fleet_evacuations *e)
{
	int64_t now = syc_now(&f->opt.clock);

	*e = (struct fleet_evacuations){
		.is_in_use = is_in_use(f),
		.is_known = f->evacuations.n_changes > 0,
		.age_ms = key_watch_age_ms(&f->evacuations.watch, now),
	};
	if (e->age_ms < 0)
		e->age_ms = now - f->started_at;
	get_domains(&f->evacuations, &e->domains);
}
