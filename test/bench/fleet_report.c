/* Computes which share of the offered worth was earned, and plots it. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet_load.h"
#include "util/alloc.h"
#include "util/cleanup.h"

enum { PLOT_WIDTH = 640, PLOT_HEIGHT = 400, PLOT_MARGIN = 50 };

enum { HELD_MIN_MS = 10 /* a refusal in less time came at once */ };

struct worth_sum {
	double offered, earned;
};

static double earned_worth(const struct fleet_load_job *j,
			   const struct fleet_load_answer *answer)
{
	int64_t objective_ms = j->objective_at - j->submitted_at;

	if (!answer->served)
		return j->worth *
		       (answer->in_time_part +
			answer->late_part * FLEET_LOAD_LATE_PERCENT / 100);
	if (answer->answered_at > j->deadline_at)
		return 0;
	if (answer->answered_at <= j->objective_at)
		return j->worth;
	if (answer->answered_at <=
	    j->submitted_at + FLEET_LOAD_LATE_FACTOR * objective_ms)
		return j->worth * FLEET_LOAD_LATE_PERCENT / 100;
	return 0;
}

static double earned_share(const struct worth_sum *s)
{
	return s->offered > 0 ? s->earned / s->offered : 1;
}

static void add_worth(struct worth_sum *s, double offered, double earned)
{
	s->offered += offered;
	s->earned += earned;
}

/* Whether the job was refused only after its caller had waited for a while. */
static bool is_refused_late(const struct fleet_load *l,
			    const struct fleet_load_job *j,
			    const struct fleet_load_answer *answer)
{
	int64_t at_once_ms = 2 * (int64_t)l->profile->link_ms + HELD_MIN_MS;

	return answer->refused &&
	       answer->answered_at - j->submitted_at > at_once_ms;
}

static double min_share(const struct worth_sum *s, size_t n)
{
	double min = 1;
	size_t i;

	for (i = 0; i < n; i++)
		if (earned_share(&s[i]) < min)
			min = earned_share(&s[i]);
	return min;
}

static int compare_doubles(const void *a, const void *b)
{
	const double *x = a, *y = b;

	return *x < *y ? -1 : *x > *y;
}

static double p99_of_first_kind(const struct fleet_load *l,
				const struct fleet_load_results *results)
{
	auto_free double *ratio = xcalloc(l->n_jobs + 1, sizeof(*ratio));
	size_t i, n = 0;

	for (i = 0; i < l->n_jobs; i++) {
		const struct fleet_load_job *j = &l->jobs[i];

		if (j->kind || !results->answers[i].served)
			continue;
		ratio[n++] = (double)(results->answers[i].answered_at -
				      j->submitted_at) /
			     (double)(j->objective_at - j->submitted_at);
	}
	if (!n)
		return 0;
	qsort(ratio, n, sizeof(*ratio), compare_doubles);
	return ratio[n * 99 / 100];
}

void fleet_load_report(const struct fleet_load *l,
		       const struct fleet_load_results *results,
		       struct fleet_load_report *r)
{
	size_t n_windows = (size_t)(l->end_at / l->profile->window_ms) + 1;
	auto_free struct worth_sum *windows = xcalloc(n_windows,
						      sizeof(*windows));
	auto_free struct worth_sum *domains = xcalloc(l->profile->domains,
						      sizeof(*domains));
	struct worth_sum kinds[PROFILE_KINDS_MAX] = {{0, 0}};
	struct worth_sum sizes[FLEET_LOAD_SIZE_CLASSES] = {{0, 0}},
			 all = {0, 0};
	size_t i, served = 0, refused = 0, held = 0;

	memset(r, 0, sizeof(*r));
	for (i = 0; i < l->n_jobs; i++) {
		const struct fleet_load_job *j = &l->jobs[i];
		double earned = earned_worth(j, &results->answers[i]);

		add_worth(&all, j->worth, earned);
		add_worth(&kinds[j->kind], j->worth, earned);
		add_worth(&sizes[j->size_class], j->worth, earned);
		add_worth(&domains[j->domain], j->worth, earned);
		add_worth(&windows[j->submitted_at / l->profile->window_ms],
			  j->worth, earned);
		served += results->answers[i].served;
		refused += results->answers[i].refused;
		held += is_refused_late(l, j, &results->answers[i]);
	}
	r->worth = earned_share(&all);
	for (i = 0; i < l->profile->n_kinds; i++)
		r->by_kind[i] = earned_share(&kinds[i]);
	for (i = 0; i < FLEET_LOAD_SIZE_CLASSES; i++)
		r->by_size[i] = earned_share(&sizes[i]);
	r->worst_domain = min_share(domains, l->profile->domains);
	r->worst_window = min_share(windows, n_windows);
	r->served = l->n_jobs ? (double)served / (double)l->n_jobs : 1;
	r->refused = l->n_jobs ? (double)refused / (double)l->n_jobs : 0;
	r->held = l->n_jobs ? (double)held / (double)l->n_jobs : 0;
	r->p99_over_objective = p99_of_first_kind(l, results);
}

static double svg_x(const double *x, size_t n, size_t i)
{
	return PLOT_MARGIN + (x[i] - x[0]) / (x[n - 1] - x[0]) *
				     (PLOT_WIDTH - 2 * PLOT_MARGIN);
}

static double svg_y(double y)
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
			PLOT_MARGIN, PLOT_WIDTH - PLOT_MARGIN, svg_y(k / 10.0),
			svg_y(k / 10.0), svg_y(k / 10.0) + 4, k / 10.0);
	for (i = 0; i < n; i++)
		fprintf(f, "<text x=\"%.1f\" y=\"%d\">%.0f%%</text>\n",
			svg_x(x, n, i) - 12, PLOT_HEIGHT - 30, x[i]);
	fprintf(f,
		"<text x=\"%d\" y=\"%d\">load relative to the capacity "
		"without troubles</text>\n",
		PLOT_WIDTH / 2 - 90, PLOT_HEIGHT - 8);
	fprintf(f,
		"<text x=\"%d\" y=\"20\">share of the worth offered</text>\n",
		PLOT_MARGIN);
}

static void plot_line(FILE *f, const double *x, size_t n,
		      const struct plot_series *series, size_t place)
{
	size_t i;

	fprintf(f,
		"<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"2\" "
		"points=\"",
		series->color);
	for (i = 0; i < n; i++)
		fprintf(f, "%.1f,%.1f ", svg_x(x, n, i), svg_y(series->y[i]));
	fprintf(f, "\"/>\n<text x=\"%d\" y=\"%zu\" fill=\"%s\">%s</text>\n",
		PLOT_MARGIN + 20, PLOT_HEIGHT - 140 + 18 * place, series->color,
		series->name);
}

bool plot_write(const char *path, const double *x, size_t n,
		const struct plot_series *series, size_t n_series)
{
	FILE *f = fopen(path, "w");
	size_t i;

	if (!f || n < 2) {
		fprintf(stderr,
			"%s: cannot write the plot: the file is not "
			"writable or there are fewer than 2 loads\n",
			path);
		if (f)
			fclose(f);
		return false;
	}
	plot_axes(f, x, n);
	for (i = 0; i < n_series; i++)
		plot_line(f, x, n, &series[i], i);
	fprintf(f, "</svg>\n");
	return !fclose(f);
}
