/*
 * What the driver of leased workers earns by load, beside first come first
 * served and a bound that nobody can pass.
 */
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet_load.h"
#include "util/log.h"

enum { RULES = 4, LOADS_MAX = 16 };

static const char *const rule_names[RULES] = {"drive", "first come",
					      "urgent max", "bound"};
static void (*const rules[RULES])(const struct load *, struct load_played *) = {
	load_play_drive, load_play_first_come, load_play_urgent_bound,
	load_play_bound};

struct options {
	int seeds, first_seed;
	int instances;
	int drive_limit_to_domain;
	char *loads;
	char *svg;
};

/* Sums over seeds; divided when it is printed. */
static void add_report(struct load_report *sum, const struct load_report *r)
{
	size_t i;

	sum->worth += r->worth;
	for (i = 0; i < PROFILE_KINDS_MAX; i++)
		sum->by_kind[i] += r->by_kind[i];
	for (i = 0; i < LOAD_SIZES; i++)
		sum->by_size[i] += r->by_size[i];
	sum->worst_domain += r->worst_domain;
	sum->worst_window += r->worst_window;
	sum->served += r->served;
	sum->refused += r->refused;
	sum->p99_over_objective += r->p99_over_objective;
}

static void print_head(const struct profile *p)
{
	size_t i;

	printf("%-10s %5s %6s", "rule", "load", "worth");
	for (i = 0; i < p->n_kinds; i++)
		printf(" %11.11s", p->kinds[i].name);
	printf(" %6s %6s %7s %6s %6s %6s %6s %8s %8s\n", "usual", "below",
	       "largest", "domain", "window", "served", "refus.", "p99/obj",
	       "us/start");
}

static void print_row(const struct profile *p, int rule, int load, int seeds,
		      const struct load_report *sum, double decide_us)
{
	double n = seeds;
	size_t i;

	printf("%-10s %4d%% %6.3f", rule_names[rule], load, sum->worth / n);
	for (i = 0; i < p->n_kinds; i++)
		printf(" %11.3f", sum->by_kind[i] / n);
	printf(" %6.3f %6.3f %7.3f %6.3f %6.3f %6.3f %6.3f %8.2f",
	       sum->by_size[0] / n, sum->by_size[1] / n, sum->by_size[2] / n,
	       sum->worst_domain / n, sum->worst_window / n, sum->served / n,
	       sum->refused / n, sum->p99_over_objective / n);
	if (rule)
		printf("\n");
	else
		printf(" %8.1f\n", decide_us / n);
}

/* Plays one load with each rule; returns what each earned. */
static void play_load(const struct profile *p, const struct options *opt,
		      int percent, double *worth)
{
	struct load_report sums[RULES], r;
	struct load_played played;
	double decide_us = 0;
	int seed, rule, n_rules = opt->drive_limit_to_domain ? 1 : RULES;
	struct load load;

	memset(sums, 0, sizeof(sums));
	for (seed = 0; seed < opt->seeds; seed++) {
		load_draw(&load, p, (uint64_t)opt->first_seed + (uint64_t)seed,
			  (uint32_t)percent, (uint32_t)opt->instances);
		for (rule = 0; rule < n_rules; rule++) {
			rules[rule](&load, &played);
			load_report(&load, &played, &r);
			add_report(&sums[rule], &r);
			decide_us += played.decide_us;
			load_played_free(&played);
		}
		load_free(&load);
	}
	for (rule = 0; rule < n_rules; rule++) {
		print_row(p, rule, percent, opt->seeds, &sums[rule], decide_us);
		worth[rule] = sums[rule].worth / opt->seeds;
	}
	fflush(stdout);
}

static int play_all(const struct profile *p, const struct options *opt)
{
	static const char *const colors[RULES] = {"#1f77b4", "#d62728",
						  "#9467bd", "#2ca02c"};
	double x[LOADS_MAX], y[RULES][LOADS_MAX], worth[RULES] = {0};
	struct plot_line lines[RULES];
	const char *at = opt->loads;
	size_t n = 0;
	int rule;

	print_head(p);
	while (*at && n < LOADS_MAX) {
		char *end;

		x[n] = (double)strtol(at, &end, 10);
		if (end == at || x[n] < 1) {
			fprintf(stderr, "loads are percentages, as 40,80\n");
			return 1;
		}
		play_load(p, opt, (int)x[n], worth);
		for (rule = 0; rule < RULES; rule++)
			y[rule][n] = worth[rule];
		n++;
		at = *end == ',' ? end + 1 : end;
	}
	if (!opt->svg || opt->drive_limit_to_domain)
		return 0;
	for (rule = 0; rule < RULES; rule++)
		lines[rule] = (struct plot_line){rule_names[rule], colors[rule],
						 y[rule]};
	return !plot_write(opt->svg, x, n, lines, RULES);
}

int main(int argc, char **argv)
{
	struct options opt = {.seeds = 3, .first_seed = 1};
	struct poptOption table[] = {
		{"seeds", 's', POPT_ARG_INT, &opt.seeds, 0,
		 "Seeds of each load (3)", "N"},
		{"first-seed", 'f', POPT_ARG_INT, &opt.first_seed, 0,
		 "The first of them (1)", "N"},
		{"instances", 'i', POPT_ARG_INT, &opt.instances, 0,
		 "In place of the profile's", "N"},
		{"loads", 'l', POPT_ARG_STRING, &opt.loads, 0,
		 "In percent of the room (40,60,80,100,120,140)", "LIST"},
		{"drive-only", 'd', POPT_ARG_NONE, &opt.drive_limit_to_domain,
		 0, "Without what it is measured against", NULL},
		{"svg", 'o', POPT_ARG_STRING, &opt.svg, 0,
		 "Plot the earned worth", "FILE"},
		POPT_AUTOHELP POPT_TABLEEND};
	poptContext ctx = poptGetContext(NULL, argc, (const char **)argv, table,
					 0);
	struct profile p;
	const char *path;
	int rc = poptGetNextOpt(ctx);

	path = poptGetArg(ctx);
	if (rc != -1 || !path || poptPeekArg(ctx)) {
		fprintf(stderr, "usage: fleet_load [OPTION...] PROFILE\n");
		return 2;
	}
	log_level_set(LOG_ERROR);
	if (!opt.loads)
		opt.loads = strdup("40,60,80,100,120,140");
	rc = !profile_read(&p, path);
	if (!opt.instances)
		opt.instances = (int)p.instances;
	if (!rc)
		rc = play_all(&p, &opt);
	free(opt.loads);
	free(opt.svg);
	poptFreeContext(ctx);
	return rc;
}
