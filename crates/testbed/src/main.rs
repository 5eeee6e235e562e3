//! Plays trials from the command line; the last line is the verdict.

use clap::{Parser, Subcommand};
use membership::MS;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use testbed::ground::Plan;
use testbed::play::{Report, play};
use testbed::{
    chart, decisions, hollow, mutations, scenarios, silence, slopes, soak, virtual_overload,
    virtual_regions, virtual_trials,
};

/// Trials of many pipitrun processes, with faults between them.
#[derive(Parser)]
#[command(name = "testbed", version, about)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays one scenario, by its name or from a file.
    Run {
        /// The scenario.
        scenario: String,
        /// Processes; as many as the scenario says if not given.
        #[arg(long)]
        instances: Option<usize>,
        /// For all that is drawn; with --repeat the first of several.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How often, each time by the next seed.
        #[arg(long, default_value_t = 1)]
        repeat: u64,
        /// Where figures and the record of faults are written, one JSON file for each play.
        #[arg(long)]
        out: Option<PathBuf>,
        /// The program, if not the one beside this.
        #[arg(long)]
        program: Option<PathBuf>,
        /// Without the key `fleet`: what the members did before they had a view.
        #[arg(long)]
        no_fleet: bool,
        /// With the key `shed_together`: load is shed by a level that all agree on.
        #[arg(long)]
        shed_together: bool,
        /// Where the members' log lines are written, one file for each play.
        #[arg(long)]
        logs: Option<PathBuf>,
        /// A mistake to plant; the program must have been built with the feature `fault-injection`.
        #[arg(long)]
        planted: Option<String>,
    },
    /// Names the scenarios, and the trials in virtual time.
    List,
    /// Measures the fleet crate alone, in virtual time; a row of JSON for each size, loss and seed.
    Measure {
        /// Sizes.
        #[arg(long, value_delimiter = ',', default_values_t = [10, 100])]
        members: Vec<usize>,
        /// Shares of datagrams that are lost.
        #[arg(long, value_delimiter = ',', default_values_t = [0.0, 0.1, 0.2, 0.3])]
        loss: Vec<f64>,
        /// Seeds, from 1.
        #[arg(long, default_value_t = 5)]
        seeds: u64,
        /// How long nothing happens, for the figures a second; in seconds.
        #[arg(long, default_value_t = 30)]
        calm: u64,
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        first: u64,
    },
    /// Measures a fleet in regions, in virtual time; a row of JSON for each size, loss and seed.
    Regions {
        /// Sizes.
        #[arg(long, value_delimiter = ',', default_values_t = [100, 600, 1_150])]
        members: Vec<usize>,
        /// Regions, uneven; 1: one region, as without the key.
        #[arg(long, default_value_t = 26)]
        regions: usize,
        /// Shares of datagrams that are lost.
        #[arg(long, value_delimiter = ',', default_values_t = [0.0])]
        loss: Vec<f64>,
        /// The share that is lost between regions, where that is more.
        #[arg(long, default_value_t = 0.0)]
        loss_between: f64,
        /// How long datagrams take from one region to another, in milliseconds.
        #[arg(long, default_value_t = 40)]
        delay_between: u64,
        /// Seeds, from 1.
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// How long nothing happens, in seconds.
        #[arg(long, default_value_t = 30)]
        calm: u64,
        /// What happens after the calm.
        #[arg(long, value_enum, value_delimiter = ',', default_values_t = [Happens::Deaths, Happens::Losses, Happens::Cut])]
        events: Vec<Happens>,
    },
    /// Hollow balancers, the control code without the data path, over real sockets on loopback; the last line is what was
    /// measured, as JSON.
    Hollow {
        #[command(flatten)]
        layout: Layout,
        /// How long nothing happens, in seconds.
        #[arg(long, default_value_t = 20)]
        seconds: u64,
        /// What happens then.
        #[arg(long, value_enum, default_value_t = hollow::Event::None)]
        event: hollow::Event,
    },
    /// One process of `hollow`, which starts it.
    #[command(hide = true)]
    HollowMembers {
        #[command(flatten)]
        layout: Layout,
        /// Which of the processes this is.
        #[arg(long)]
        share: usize,
    },
    /// Measures how costs grow, for docs/CAPACITY.md; takes some minutes on a machine that is otherwise idle.
    Slopes {
        /// Where they are written.
        #[arg(long)]
        out: PathBuf,
        /// Numbers of caches.
        #[arg(long, value_delimiter = ',', default_values_t = [13, 50, 200, 1_300])]
        caches: Vec<usize>,
        /// Members of one region, in virtual time.
        #[arg(long, value_delimiter = ',', default_values_t = [100, 300, 600])]
        one_region: Vec<usize>,
        /// Members of a fleet in regions, in virtual time; larger ones are better played apart, see `--add`.
        #[arg(long, value_delimiter = ',', default_values_t = [100, 600])]
        in_regions: Vec<usize>,
        /// Hollow members over real sockets.
        #[arg(long, value_delimiter = ',', default_values_t = [100, 600, 1_150])]
        hollow: Vec<usize>,
        /// Regions.
        #[arg(long, default_value_t = 26)]
        regions: usize,
        /// Measures nothing, and adds these rows that `regions` printed to the file that is there.
        #[arg(long)]
        add: Vec<PathBuf>,
    },
    /// The tables of docs/CAPACITY.md, by the plan and the slopes.
    Capacity {
        /// The plan.
        #[arg(long)]
        plan: PathBuf,
        /// The slopes.
        #[arg(long)]
        slopes: PathBuf,
        /// Holds this page against them; the first line that differs is named.
        #[arg(long)]
        check: Option<PathBuf>,
        /// Writes them into this page.
        #[arg(long, conflicts_with = "check")]
        write: Option<PathBuf>,
    },
    /// The level by which members shed load together through twice the room, in virtual time; a row of JSON for each
    /// size, loss, trouble and seed.
    Levels {
        /// Sizes.
        #[arg(long, value_delimiter = ',', default_values_t = [4, 12, 40])]
        members: Vec<usize>,
        /// Shares of datagrams that are lost.
        #[arg(long, value_delimiter = ',', default_values_t = [0.0, 0.3])]
        loss: Vec<f64>,
        /// Seeds, from 1.
        #[arg(long, default_value_t = 10)]
        seeds: u64,
    },
    /// What is untrue in how many pairs of members, step by step, in virtual time: for tracing what `measure` shows.
    Course {
        /// Members.
        #[arg(long, default_value_t = 100)]
        members: usize,
        /// The share of datagrams that is lost.
        #[arg(long, default_value_t = 0.0)]
        loss: f64,
        /// For all that is drawn.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// A line each so often; in milliseconds.
        #[arg(long, default_value_t = 200)]
        every: u64,
        /// A step that has not settled is ended after this; in seconds.
        #[arg(long, default_value_t = 60)]
        most: u64,
    },
    /// What a decision costs by the number of caches; the last line is the ratio of a request's cost, largest over smallest
    /// number.
    Decisions {
        /// Numbers of caches.
        #[arg(long, value_delimiter = ',', default_values_t = [13, 50, 200, 1_300])]
        caches: Vec<usize>,
        /// How long each is measured, in seconds of the module's time.
        #[arg(long, default_value_t = 60)]
        seconds: u64,
        /// So often; the least of each figure counts.
        #[arg(long, default_value_t = 5)]
        rounds: u64,
    },
    /// The longest time without an answer while one real process is told of a batch of caches; a row for each size.
    Silence {
        /// Numbers of caches, each with its batch, as in `3200:1000`.
        #[arg(long, value_delimiter = ',', default_values = ["200:60", "400:150", "1300:400", "3200:1000"])]
        sizes: Vec<silence::Size>,
        /// The program, if not the one beside this.
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Real balancers between caches, a discovery and clients that go wrong as a seed draws it; a referee holds what all saw
    /// against the rules. The last line is the verdict.
    Soak(soak::command::Arguments),
    /// What one balancer needs of the same day with few caches and with many, beside what it may need.
    Growth(soak::growth::Arguments),
    /// The greatest sum of shares through splits in virtual time, by the rule and without it.
    Shares {
        /// Members.
        #[arg(long, default_value_t = 12)]
        members: usize,
        /// Seeds, from 1.
        #[arg(long, default_value_t = 20)]
        seeds: u64,
    },
    /// Draws charts and prints a table of what `run --out` and `measure` have written.
    Chart {
        /// The folder of reports.
        reports: PathBuf,
        /// Rows of `measure`.
        #[arg(long)]
        measured: Option<PathBuf>,
        /// Where the charts go.
        #[arg(long, default_value = ".")]
        out: PathBuf,
    },
    /// Plants each mistake and plays the trial that has to find it; needs the feature `fault-injection`.
    Mutations {
        /// The program, built with the feature too.
        #[arg(long)]
        program: Option<PathBuf>,
    },
}

/// What happens in a play of `regions`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
enum Happens {
    /// Nothing.
    None,
    /// One dies and is back, then the leader of the largest region.
    Deaths,
    /// A rack dies and is back, then a zone.
    Losses,
    /// A region is cut off for a minute and is back.
    Cut,
}

impl Happens {
    fn all(of: &[Happens]) -> virtual_regions::Events {
        let has = |one| of.contains(&one);
        virtual_regions::Events {
            deaths: has(Happens::Deaths),
            losses: has(Happens::Losses),
            cut: has(Happens::Cut),
        }
    }
}

/// How hollow members are laid out.
#[derive(clap::Args)]
struct Layout {
    /// Members in all.
    #[arg(long, default_value_t = 120)]
    members: usize,
    /// Regions, uneven; 1: without regions.
    #[arg(long, default_value_t = 1)]
    regions: usize,
    /// Processes that the members are dealt out over.
    #[arg(long, default_value_t = 4)]
    processes: usize,
    /// For all that is drawn.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

impl Layout {
    fn plan(&self, seconds: u64, event: hollow::Event) -> hollow::Plan {
        let Layout {
            members,
            regions,
            processes,
            seed,
        } = *self;
        hollow::Plan {
            members,
            regions,
            processes,
            seed,
            seconds,
            event,
        }
    }
}

fn run_hollow(plan: hollow::Plan, interrupted: &AtomicBool) -> Result<ExitCode, String> {
    let measured = hollow::run(plan, interrupted)?;
    println!(
        "{}",
        serde_json::to_string(&measured).map_err(|e| e.to_string())?
    );
    Ok(ExitCode::SUCCESS)
}

fn main() -> ExitCode {
    let command = Arguments::parse().command;
    let interrupted = Arc::new(AtomicBool::new(false));
    // What plays in virtual time alone has nothing to put in order and ends at once.
    let heeded = matches!(
        command,
        Command::Run { .. }
            | Command::Hollow { .. }
            | Command::HollowMembers { .. }
            | Command::Slopes { .. }
    );
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM]
        .into_iter()
        .filter(|_| heeded)
    {
        if let Err(e) = signal_hook::flag::register(signal, Arc::clone(&interrupted)) {
            eprintln!("testbed: signals: {e}");
        }
    }
    let result = match command {
        Command::List => list(),
        Command::Measure {
            members,
            loss,
            seeds,
            calm,
            first,
        } => measure(&members, &loss, first..first + seeds, calm),
        Command::Course {
            members,
            loss,
            seed,
            every,
            most,
        } => {
            let span = (every.max(1) * MS, most * 1_000 * MS);
            virtual_trials::course(members, loss, seed, span, |line| println!("{line}"));
            Ok(ExitCode::SUCCESS)
        }
        Command::Regions {
            members,
            regions,
            loss,
            loss_between,
            delay_between,
            seeds,
            calm,
            events,
        } => {
            let plan = virtual_regions::Plan {
                members: 0,
                regions,
                seed: 1,
                loss: 0.0,
                loss_between,
                delay_between_ms: delay_between,
                calm_s: calm,
                events: Happens::all(&events),
            };
            measure_regions(plan, &members, &loss, seeds)
        }
        Command::Silence { sizes, program } => {
            testbed::ground::program(program.as_ref()).and_then(|program| {
                silence::print_table(&program, &sizes)?;
                Ok(ExitCode::SUCCESS)
            })
        }
        Command::Growth(arguments) => soak::growth::run(&arguments),
        Command::Soak(arguments) => soak::command::run(&arguments),
        Command::Slopes {
            out,
            caches,
            one_region,
            in_regions,
            hollow,
            regions,
            add,
        } => {
            let sizes = slopes::Sizes {
                caches,
                one_region,
                in_regions,
                hollow,
                regions,
            };
            measure_slopes(&out, &sizes, &add, &interrupted)
        }
        Command::Capacity {
            plan,
            slopes,
            check,
            write,
        } => capacity(&plan, &slopes, check, write),
        Command::Hollow {
            layout,
            seconds,
            event,
        } => run_hollow(layout.plan(seconds, event), &interrupted),
        Command::HollowMembers { layout, share } => {
            hollow::serve(layout.plan(0, hollow::Event::None), share).map(|()| ExitCode::SUCCESS)
        }
        Command::Levels {
            members,
            loss,
            seeds,
        } => levels(&members, &loss, seeds),
        Command::Decisions {
            caches,
            seconds,
            rounds,
        } => decisions(&caches, seconds, rounds),
        Command::Shares { members, seeds } => shares(members, seeds),
        Command::Chart {
            reports,
            measured,
            out,
        } => chart(&reports, measured, &out),
        Command::Mutations { program } => mutations(program),
        Command::Run {
            scenario,
            instances,
            seed,
            repeat,
            out,
            program,
            no_fleet,
            shed_together,
            logs,
            planted,
        } => {
            let mut fleet_keys = serde_json::Map::new();
            if shed_together {
                fleet_keys.insert("shed_together".into(), true.into());
            }
            let plan = Plan {
                program,
                fleet_keys,
                fleet: !no_fleet,
                logs,
                planted,
                ..Plan::default()
            };
            run(
                &scenario,
                instances,
                (seed, repeat),
                out,
                &plan,
                &interrupted,
            )
        }
    };
    result.unwrap_or_else(|e| {
        eprintln!("testbed: {e}");
        println!("verdict: failed to play");
        ExitCode::FAILURE
    })
}

fn list() -> Result<ExitCode, String> {
    for name in scenarios::names() {
        println!("{name:14} {}", scenarios::find(name)?.about);
    }
    for (name, _) in virtual_trials::ALL {
        println!("{name:14} in virtual time");
    }
    Ok(ExitCode::SUCCESS)
}

fn measure(
    members: &[usize],
    loss: &[f64],
    seeds: std::ops::Range<u64>,
    calm: u64,
) -> Result<ExitCode, String> {
    for (members, loss) in members
        .iter()
        .flat_map(|m| loss.iter().map(move |l| (*m, *l)))
    {
        for seed in seeds.clone() {
            let measured = virtual_trials::measure(members, loss, seed, calm);
            println!(
                "{}",
                serde_json::to_string(&measured).map_err(|e| e.to_string())?
            );
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn measure_regions(
    plan: virtual_regions::Plan,
    members: &[usize],
    loss: &[f64],
    seeds: u64,
) -> Result<ExitCode, String> {
    for (members, loss) in members
        .iter()
        .flat_map(|m| loss.iter().map(move |l| (*m, *l)))
    {
        for seed in 1..=seeds {
            let measured = virtual_regions::measure(virtual_regions::Plan {
                members,
                loss,
                seed,
                ..plan
            });
            println!(
                "{}",
                serde_json::to_string(&measured).map_err(|e| e.to_string())?
            );
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn measure_slopes(
    out: &Path,
    sizes: &slopes::Sizes,
    rows: &[PathBuf],
    interrupted: &AtomicBool,
) -> Result<ExitCode, String> {
    let mut measured = Vec::new();
    for path in rows {
        let problem = |e: String| format!("{}: {e}", path.display());
        let text = std::fs::read_to_string(path).map_err(|e| problem(e.to_string()))?;
        for line in text.lines() {
            measured.push(serde_json::from_str(line).map_err(|e| problem(e.to_string()))?);
        }
    }
    let slopes = match rows.is_empty() {
        true => slopes::measure(sizes, interrupted)?,
        false => slopes::extend(slopes::Slopes::read(out)?, &measured),
    };
    let text = serde_json::to_string_pretty(&slopes).map_err(|e| e.to_string())?;
    std::fs::write(out, text + "\n").map_err(|e| format!("{}: {e}", out.display()))?;
    Ok(ExitCode::SUCCESS)
}

fn capacity(
    plan: &Path,
    slopes: &Path,
    check: Option<PathBuf>,
    write: Option<PathBuf>,
) -> Result<ExitCode, String> {
    let plan = testbed::capacity::Plan::read(plan)?;
    let slopes = slopes::Slopes::read(slopes)?;
    let tables = testbed::capacity::tables(&plan, &slopes)?;
    let page =
        |path: &Path| std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()));
    match (check, write) {
        (Some(path), _) => {
            let checked = testbed::capacity::check(&page(&path)?, &tables);
            checked.map_err(|e| format!("{}: {e}", path.display()))?;
        }
        (None, Some(path)) => {
            let written = testbed::capacity::rewrite(&page(&path)?, &tables);
            let written = written.map_err(|e| format!("{}: {e}", path.display()))?;
            std::fs::write(&path, written).map_err(|e| format!("{}: {e}", path.display()))?;
        }
        (None, None) => {
            for (name, lines) in &tables {
                println!("{name}\n\n{}\n", lines.join("\n"));
            }
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn levels(members: &[usize], loss: &[f64], seeds: u64) -> Result<ExitCode, String> {
    for (members, loss) in members
        .iter()
        .flat_map(|m| loss.iter().map(move |l| (*m, *l)))
    {
        for trouble in virtual_overload::TROUBLES {
            for seed in 1..=seeds {
                let row = virtual_overload::levels(members, loss, seed, trouble);
                println!(
                    "{}",
                    serde_json::to_string(&row).map_err(|e| e.to_string())?
                );
            }
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn decisions(caches: &[usize], seconds: u64, rounds: u64) -> Result<ExitCode, String> {
    let costs = decisions::measure(caches, seconds, rounds)?;
    println!("caches  request us  first request us  change ms  housekeeping ms  core %");
    for cost in &costs {
        println!(
            "{:6}  {:10.2}  {:16.2}  {:9.3}  {:15.3}  {:6.2}",
            cost.caches,
            cost.request_us,
            cost.first_request_us,
            cost.change_ms,
            cost.housekeeping_ms,
            cost.core_percent
        );
    }
    let least = costs.iter().min_by_key(|cost| cost.caches);
    let most = costs.iter().max_by_key(|cost| cost.caches);
    if let (Some(least), Some(most)) = (least, most) {
        println!("ratio {:.2}", most.request_us / least.request_us);
    }
    Ok(ExitCode::SUCCESS)
}

fn shares(members: usize, seeds: u64) -> Result<ExitCode, String> {
    for parts in [2, 3, 5] {
        let (mut by_rule, mut at_once) = (0f64, 0f64);
        for seed in 1..=seeds {
            let (one, other) = virtual_trials::shares(members, parts, seed)?;
            (by_rule, at_once) = (by_rule.max(one), at_once.max(other));
        }
        println!(
            "{members} members in {parts} parts, {seeds} seeds: {at_once:.2} at once, {by_rule:.2} by the rule"
        );
    }
    Ok(ExitCode::SUCCESS)
}

fn chart(reports: &Path, measured: Option<PathBuf>, out: &Path) -> Result<ExitCode, String> {
    let settled = chart::settled(&chart::reports(reports)?);
    print!("{}", chart::table(&settled));
    chart::draw_settled(&settled, 3.0, &out.join("fleet-settled.svg"))?;
    if let Some(path) = measured {
        let text =
            std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        let rows = text
            .lines()
            .map(serde_json::from_str)
            .collect::<Result<Vec<serde_json::Value>, _>>();
        let rows = rows.map_err(|e| format!("{}: {e}", path.display()))?;
        let title = "Bytes sent a member a second in calm";
        chart::draw_measured(&rows, "bytes_per_s", title, &out.join("fleet-bytes.svg"))?;
        let title = "Seconds until a tenth's death is known to all";
        chart::draw_measured(&rows, "death_s", title, &out.join("fleet-death.svg"))?;
    }
    Ok(ExitCode::SUCCESS)
}

fn mutations(program: Option<PathBuf>) -> Result<ExitCode, String> {
    let own = std::env::current_exe().map_err(|e| e.to_string())?;
    let rows = mutations::check(&own, program.as_deref())?;
    for row in &rows {
        let found = if row.found { "found" } else { "NOT FOUND" };
        println!(
            "| `{}` | `{}` | {found} | {} |",
            row.fault, row.trial, row.with
        );
    }
    let found = rows.iter().filter(|row| row.found).count();
    println!("{found} of {} found", rows.len());
    Ok(if found == rows.len() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn run(
    name: &str,
    instances: Option<usize>,
    (seed, repeat): (u64, u64),
    out: Option<PathBuf>,
    plan: &Plan,
    interrupted: &AtomicBool,
) -> Result<ExitCode, String> {
    if let Some(result) = mutations::play_virtual(name, seed) {
        return Ok(match result {
            Ok(()) => {
                println!("verdict: passed");
                ExitCode::SUCCESS
            }
            Err(e) => {
                println!("verdict: failed {e}");
                ExitCode::FAILURE
            }
        });
    }
    let scenario = scenarios::find(name)?;
    let mut reports = Vec::new();
    for seed in seed..seed + repeat {
        let of = Plan::of(&scenario);
        let mut fleet_keys = of.fleet_keys.clone();
        fleet_keys.extend(plan.fleet_keys.clone());
        let plan = Plan {
            instances: instances.unwrap_or(of.instances),
            seed,
            program: plan.program.clone(),
            fleet: plan.fleet,
            planted: plan.planted.clone(),
            logs: plan.logs.clone(),
            fleet_keys,
            ..of
        };
        let report = play(&scenario, plan, interrupted)?;
        println!(
            "{} with {} instances, seed {seed}",
            scenario.name, report.instances
        );
        for (at, what) in &report.done {
            println!("  {at:7.2} s  {what}");
        }
        for (what, seconds) in &report.settled {
            println!("  {what}: all views true after {seconds:.2} s");
        }
        println!(
            "  greatest sum of shares {:.2}; requests {:?}",
            report.shares_most, report.requests
        );
        for (name, span) in &report.spans {
            println!(
                "  {name}: worth {:.2}, of perfect {:.2}; tries {:.2}, copies {:.2}, connections {:.2} a request; probes {:.2} a cache a second",
                span.worth_share,
                span.of_perfect,
                span.tries_per_request,
                span.copies_per_request,
                span.connects_per_request,
                span.probes_per_cache_s
            );
            for (class, of) in &span.classes {
                println!(
                    "    {class}: asked {}, served {}, late {}, refused {}, failed {}, unanswered {}; refused {:.2} to {:.2} by balancer",
                    of.asked,
                    of.served,
                    of.late,
                    of.refused,
                    of.failed,
                    of.unanswered,
                    of.refused_least,
                    of.refused_most
                );
            }
            println!("    refused for {:?}", span.refused_by_reason);
        }
        if !report.spans.is_empty() {
            match report.recovered_s {
                Some(seconds) => {
                    println!("  nine tenths of the worth back {seconds:.0} s after the trouble")
                }
                None => println!("  nine tenths of the worth did not come back"),
            }
        }
        for failure in &report.failures {
            println!(
                "  {:7.2} s  {}: {}",
                failure.at, failure.invariant, failure.what
            );
        }
        if let Some(out) = &out {
            write(out, &report)?;
        }
        if repeat > 1 {
            println!("  {}", report.verdict());
        }
        reports.push(report);
        if interrupted.load(Ordering::Relaxed) {
            break;
        }
    }
    if reports.len() > 1 {
        summary(&reports);
    }
    let failed = reports.iter().find(|report| report.failed > 0);
    println!(
        "{}",
        failed
            .or(reports.last())
            .map(Report::verdict)
            .unwrap_or_default()
    );
    Ok(if failed.is_some() {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    })
}

fn write(out: &PathBuf, report: &Report) -> Result<(), String> {
    let problem = |e: std::io::Error| format!("--out {}: {e}", out.display());
    std::fs::create_dir_all(out).map_err(problem)?;
    let planted = report
        .planted
        .as_ref()
        .map(|p| format!("-{p}"))
        .unwrap_or_default();
    let file = format!(
        "{}-{}-{}{planted}.json",
        report.scenario, report.instances, report.seed
    );
    let json = serde_json::to_string_pretty(report).map_err(|e| e.to_string())?;
    std::fs::write(out.join(file), json + "\n").map_err(problem)
}

fn summary(reports: &[Report]) {
    let names: std::collections::BTreeSet<&String> =
        reports.iter().flat_map(|r| r.settled.keys()).collect();
    for name in names {
        let mut all: Vec<f64> = reports
            .iter()
            .filter_map(|r| r.settled.get(name).copied())
            .collect();
        all.sort_by(f64::total_cmp);
        let (median, worst) = (all[all.len() / 2], all[all.len() - 1]);
        println!(
            "{name}: median {median:.2} s, worst {worst:.2} s of {}",
            all.len()
        );
    }
    let shares = reports.iter().map(|r| r.shares_most).fold(0.0, f64::max);
    let passed = reports.iter().filter(|r| r.failed == 0).count();
    println!(
        "greatest sum of shares {shares:.2}; {passed} of {} passed",
        reports.len()
    );
}
