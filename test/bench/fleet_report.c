/* What callers got: shares of the worth that was owed, and a plot of them. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet_load.h"
#include "util/alloc.h"
#include "util/cleanup.h"

enum { PLOT_WIDTH = 640, PLOT_HEIGHT = 400, PLOT_MARGIN = 50 };

struct sum {
	double owed, got;
};

static double earned(const struct load_job *j, const struct load_end *e)
{
	int64_t objective = j->objective_at - j->at;

	if (!e->served)
		return j->worth *
		       (e->in_time + e->late * LOAD_LATE_PERCENT / 100);
	if (e->at > j->deadline_at)
		return 0;
	if (e->at <= j->objective_at)
		return j->worth;
	if (e->at <= j->at + LOAD_LATE_FACTOR * objective)
		return j->worth * LOAD_LATE_PERCENT / 100;
	return 0;
}

static double share(const struct sum *s)
{
	return s->owed > 0 ? s->got / s->owed : 1;
}

static void add(struct sum *s, double owed, double got)
{
	s->owed += owed;
	s->got += got;
}

static double worst(const struct sum *s, size_t n)
{
	double least = 1;
	size_t i;

	for (i = 0; i < n; i++)
		if (share(&s[i]) < least)
			least = share(&s[i]);
	return least;
}

static int by_value(const void *a, const void *b)
{
	const double *x = a, *y = b;

	return *x < *y ? -1 : *x > *y;
}

static double p99_of_first_kind(const struct load *l,
				const struct load_played *p)
{
	auto_free double *over = xcalloc(l->n_jobs + 1, sizeof(*over));
	size_t i, n = 0;

	for (i = 0; i < l->n_jobs; i++) {
		const struct load_job *j = &l->jobs[i];

		if (j->kind || !p->ends[i].served)
			continue;
		over[n++] = (double)(p->ends[i].at - j->at) /
			    (double)(j->objective_at - j->at);
	}
	if (!n)
		return 0;
	qsort(over, n, sizeof(*over), by_value);
	return over[n * 99 / 100];
}

void load_report(const struct load *l, const struct load_played *p,
		 struct load_report *r)
{
	size_t n_windows = (size_t)(l->until / l->profile->window_ms) + 1;
	auto_free struct sum *windows = xcalloc(n_windows, sizeof(*windows));
	auto_free struct sum *domains = xcalloc(l->profile->domains,
						sizeof(*domains));
	struct sum kinds[PROFILE_KINDS_MAX] = {{0, 0}};
	struct sum sizes[LOAD_SIZES] = {{0, 0}}, all = {0, 0};
	size_t i, served = 0, refused = 0;

	memset(r, 0, sizeof(*r));
	for (i = 0; i < l->n_jobs; i++) {
		const struct load_job *j = &l->jobs[i];
		double got = earned(j, &p->ends[i]);

		add(&all, j->worth, got);
		add(&kinds[j->kind], j->worth, got);
		add(&sizes[j->size], j->worth, got);
		add(&domains[j->domain], j->worth, got);
		add(&windows[j->at / l->profile->window_ms], j->worth, got);
		served += p->ends[i].served;
		refused += p->ends[i].refused;
	}
	r->worth = share(&all);
	for (i = 0; i < l->profile->n_kinds; i++)
		r->by_kind[i] = share(&kinds[i]);
	for (i = 0; i < LOAD_SIZES; i++)
		r->by_size[i] = share(&sizes[i]);
	r->worst_domain = worst(domains, l->profile->domains);
	r->worst_window = worst(windows, n_windows);
	r->served = l->n_jobs ? (double)served / (double)l->n_jobs : 1;
	r->refused = l->n_jobs ? (double)refused / (double)l->n_jobs : 0;
	r->p99_over_objective = p99_of_first_kind(l, p);
}

static double plot_x(const double *x, size_t n, size_t i)
{
	return PLOT_MARGIN + (x[i] - x[0]) / (x[n - 1] - x[0]) *
				     (PLOT_WIDTH - 2 * PLOT_MARGIN);
}

static double plot_y(double y)
{
	return PLOT_HEIGHT - PLOT_MARGIN - y * (PLOT_HEIGHT - 2 * PLOT_MARGIN);
}

static void plot_axes(FILE *f, const double *x, size_t n)
{
	size_t i;
	int k;

	fprintf(f,
		"<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" "
		"height=\"%d\" font-family=\"sans-serif\" font-size=\"12\">\n",
		PLOT_WIDTH, PLOT_HEIGHT);
	for (k = 0; k <= 10; k += 2)
		fprintf(f,
			"<line x1=\"%d\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\" "
			"stroke=\"#ddd\"/><text x=\"20\" y=\"%.1f\">%.1f"
			"</text>\n",
			PLOT_MARGIN, PLOT_WIDTH - PLOT_MARGIN, plot_y(k / 10.0),
			plot_y(k / 10.0), plot_y(k / 10.0) + 4, k / 10.0);
	for (i = 0; i < n; i++)
		fprintf(f, "<text x=\"%.1f\" y=\"%d\">%.0f%%</text>\n",
			plot_x(x, n, i) - 12, PLOT_HEIGHT - 30, x[i]);
	fprintf(f,
		"<text x=\"%d\" y=\"%d\">load, of the room of sound "
		"workers</text>\n",
		PLOT_WIDTH / 2 - 90, PLOT_HEIGHT - 8);
	fprintf(f, "<text x=\"%d\" y=\"20\">share of the worth owed</text>\n",
		PLOT_MARGIN);
}

static void plot_one(FILE *f, const double *x, size_t n,
		     const struct plot_line *line, size_t place)
{
	size_t i;

	fprintf(f,
		"<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"2\" "
		"points=\"",
		line->color);
	for (i = 0; i < n; i++)
		fprintf(f, "%.1f,%.1f ", plot_x(x, n, i), plot_y(line->y[i]));
	fprintf(f, "\"/>\n<text x=\"%d\" y=\"%zu\" fill=\"%s\">%s</text>\n",
		PLOT_MARGIN + 20, PLOT_HEIGHT - 140 + 18 * place, line->color,
		line->name);
}

bool plot_write(const char *path, const double *x, size_t n,
		const struct plot_line *lines, size_t n_lines)
{
	FILE *f = fopen(path, "w");
	size_t i;

	if (!f || n < 2) {
		fprintf(stderr, "%s: cannot be written\n", path);
		if (f)
			fclose(f);
		return false;
	}
	plot_axes(f, x, n);
	for (i = 0; i < n_lines; i++)
		plot_one(f, x, n, &lines[i], i);
	fprintf(f, "</svg>\n");
	return !fclose(f);
}
