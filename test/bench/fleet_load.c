/*
 * Prints what the driver of leased workers earns by load, beside first come
 * first served and the upper bound.
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
static void (*const rules[RULES])(const struct fleet_load *,
				  struct fleet_load_results *) = {
	fleet_load_simulate_driver, fleet_load_run_first_come,
	fleet_load_compute_urgent_bound, fleet_load_compute_bound};

struct options {
	int seeds, first_seed;
	int instances;
	int drive_only;
	char *loads;
	char *svg;
};

/* Adds the report of one seed to the sum that print_row averages. */
static void add_report(struct fleet_load_report *sum,
		       const struct fleet_load_report *r)
{
	size_t i;

	sum->worth += r->worth;
	for (i = 0; i < PROFILE_KINDS_MAX; i++)
		sum->by_kind[i] += r->by_kind[i];
	for (i = 0; i < FLEET_LOAD_SIZE_CLASSES; i++)
		sum->by_size[i] += r->by_size[i];
	sum->worst_domain += r->worst_domain;
	sum->worst_window += r->worst_window;
	sum->served += r->served;
	sum->refused += r->refused;
	sum->held += r->held;
	sum->p99_over_objective += r->p99_over_objective;
}

static void print_header(const struct profile *p)
{
	size_t i;

	printf("%-10s %5s %6s", "rule", "load", "worth");
	for (i = 0; i < p->n_kinds; i++)
		printf(" %11.11s", p->kinds[i].name);
	printf(" %6s %6s %7s %6s %6s %6s %6s %6s %8s %8s\n", "usual", "below",
	       "largest", "domain", "window", "served", "refus.", "held",
	       "p99/obj", "us/start");
}

static void print_row(const struct profile *p, int rule, int load, int seeds,
		      const struct fleet_load_report *sum,
		      double decision_us_per_start)
{
	double n = seeds;
	size_t i;

	printf("%-10s %4d%% %6.3f", rule_names[rule], load, sum->worth / n);
	for (i = 0; i < p->n_kinds; i++)
		printf(" %11.3f", sum->by_kind[i] / n);
	printf(" %6.3f %6.3f %7.3f %6.3f %6.3f %6.3f %6.3f %6.3f %8.2f",
	       sum->by_size[0] / n, sum->by_size[1] / n, sum->by_size[2] / n,
	       sum->worst_domain / n, sum->worst_window / n, sum->served / n,
	       sum->refused / n, sum->held / n, sum->p99_over_objective / n);
	if (rule)
		printf("\n");
	else
		printf(" %8.1f\n", decision_us_per_start / n);
}

/* Runs one load with each rule. Sets `worth` to what each rule earned. */
static void run_load(const struct profile *p, const struct options *opt,
		     int percent, double *worth)
{
	struct fleet_load_report sums[RULES], r;
	struct fleet_load_results results;
	double decision_us_per_start = 0;
	int seed, rule, n_rules = opt->drive_only ? 1 : RULES;
	struct fleet_load load;

	memset(sums, 0, sizeof(sums));
	for (seed = 0; seed < opt->seeds; seed++) {
		fleet_load_draw(&load, p,
				(uint64_t)opt->first_seed + (uint64_t)seed,
				(uint32_t)percent, (uint32_t)opt->instances);
		for (rule = 0; rule < n_rules; rule++) {
			rules[rule](&load, &results);
			fleet_load_report(&load, &results, &r);
			add_report(&sums[rule], &r);
			decision_us_per_start += results.decision_us_per_start;
			fleet_load_results_free(&results);
		}
		fleet_load_free(&load);
	}
	for (rule = 0; rule < n_rules; rule++) {
		print_row(p, rule, percent, opt->seeds, &sums[rule],
			  decision_us_per_start);
		worth[rule] = sums[rule].worth / opt->seeds;
	}
	fflush(stdout);
}

static int run_all_loads(const struct profile *p, const struct options *opt)
{
	static const char *const colors[RULES] = {"#1f77b4", "#d62728",
						  "#9467bd", "#2ca02c"};
	double loads[LOADS_MAX], plotted[RULES][LOADS_MAX], worth[RULES] = {0};
	struct plot_series series[RULES];
	const char *next = opt->loads;
	size_t n = 0;
	int rule;

	print_header(p);
	while (*next && n < LOADS_MAX) {
		char *end;

		loads[n] = (double)strtol(next, &end, 10);
		if (end == next || loads[n] < 1) {
			fprintf(stderr, "--loads must be percentages above 0, "
					"such as 40,80\n");
			return 1;
		}
		run_load(p, opt, (int)loads[n], worth);
		for (rule = 0; rule < RULES; rule++)
			plotted[rule][n] = worth[rule];
		n++;
		next = *end == ',' ? end + 1 : end;
	}
	if (!opt->svg || opt->drive_only)
		return 0;
	for (rule = 0; rule < RULES; rule++)
		series[rule] = (struct plot_series){
			rule_names[rule], colors[rule], plotted[rule]};
	return !plot_write(opt->svg, loads, n, series, RULES);
}

int main(int argc, char **argv)
{
	struct options opt = {.seeds = 3, .first_seed = 1};
	struct poptOption table[] = {
		{"seeds", 's', POPT_ARG_INT, &opt.seeds, 0,
		 "Number of seeds per load (3)", "N"},
		{"first-seed", 'f', POPT_ARG_INT, &opt.first_seed, 0,
		 "The first seed (1)", "N"},
		{"instances", 'i', POPT_ARG_INT, &opt.instances, 0,
		 "Number of instances (from the profile)", "N"},
		{"loads", 'l', POPT_ARG_STRING, &opt.loads, 0,
		 "Loads in percent of the capacity (40,60,80,100,120,140)",
		 "LIST"},
		{"drive-only", 'd', POPT_ARG_NONE, &opt.drive_only, 0,
		 "Run the driver only, without the baselines", NULL},
		{"svg", 'o', POPT_ARG_STRING, &opt.svg, 0,
		 "Write a plot of the earned worth to FILE", "FILE"},
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
		rc = run_all_loads(&p, &opt);
	free(opt.loads);
	free(opt.svg);
	poptFreeContext(ctx);
	return rc;
}
