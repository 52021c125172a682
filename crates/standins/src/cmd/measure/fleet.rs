//! Measures what a fleet of gateways says to each other and to the store, and how that grows.

use std::error::Error;
use std::path::{Path, PathBuf};

use clap::{Args as ClapArgs, ValueEnum};
use ebonyloft_check::gateways::{FleetReport, FleetSpec, Kind, Phase, power, simulate};
use plotters::prelude::*;

/// Sizes to which the growth is carried on.
const CARRIED_ON: [usize; 2] = [1_000, 2_000];
/// Width and height of the plot.
const PLOT_SIZE: (u32, u32) = (900, 600);

/// Measures calls, datagrams and bytes of gateways in simulated time.
///
/// Plays the gateways' own decisions on joining, roles, load reports and fetches, with a store that has
/// latency and a link, and datagrams that are lost. Requests are not played.
#[derive(Clone, Debug, ClapArgs)]
pub struct Args {
    /// Numbers of gateways, one run each
    #[arg(long, value_delimiter = ',', default_value = "30,100,300,468")]
    gateways: Vec<usize>,
    /// Number of backend servers; by default 1.2 for each gateway
    #[arg(long)]
    servers: Option<usize>,
    /// Number of availability zones
    #[arg(long, default_value_t = 6)]
    zones: usize,
    /// What happens in the measured 20 s
    #[arg(long, value_enum, default_value = "start")]
    phase: PhaseName,
    /// Fraction of datagrams lost
    #[arg(long, default_value_t = 0.01)]
    loss: f64,
    /// Seed of the runs
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How the results are printed
    #[arg(long, value_enum, default_value = "text")]
    format: Format,
    /// Write a plot of the busiest gateway's messages a second, and of the price of calls
    #[arg(long)]
    plot: Option<PathBuf>,
}

#[derive(Clone, Copy, Debug, ValueEnum)]
enum PhaseName {
    /// The whole fleet starts for the first time
    Start,
    /// Nothing changes
    Calm,
    /// One backend server in fifty leaves
    Leaving,
    /// One gateway in five restarts
    Restart,
    /// All gateways end at once and start again
    LossOfAll,
    /// The store is unreachable for 12 s
    StoreAway,
}

#[derive(Clone, Copy, Debug, ValueEnum)]
enum Format {
    Text,
    Json,
}

impl From<PhaseName> for Phase {
    fn from(name: PhaseName) -> Phase {
        match name {
            PhaseName::Start => Phase::Start,
            PhaseName::Calm => Phase::Calm,
            PhaseName::Leaving => Phase::Leaving,
            PhaseName::Restart => Phase::Restart,
            PhaseName::LossOfAll => Phase::LossOfAll,
            PhaseName::StoreAway => Phase::StoreAway,
        }
    }
}

/// Runs the command; returns whether the results could be written.
pub fn run(args: &Args) -> bool {
    if args.gateways.contains(&0) || args.zones == 0 || !(0.0..1.0).contains(&args.loss) {
        eprintln!("gateways and zones must be at least 1, and loss from 0 to below 1");
        return false;
    }
    let reports: Vec<FleetReport> = args
        .gateways
        .iter()
        .map(|&gateways| {
            simulate(FleetSpec {
                gateways,
                servers: args.servers.unwrap_or(gateways * 6 / 5),
                zones: args.zones,
                phase: args.phase.into(),
                loss: args.loss,
                seed: args.seed,
            })
        })
        .collect();
    match args.format {
        Format::Json => match serde_json::to_string_pretty(&reports) {
            Ok(text) => println!("{text}"),
            Err(e) => {
                eprintln!("can't encode the results: {e}");
                return false;
            }
        },
        Format::Text => print_text(&reports),
    }
    match &args.plot {
        Some(path) => draw(path, &reports)
            .inspect_err(|e| eprintln!("can't write {}: {e}", path.display()))
            .is_ok(),
        None => true,
    }
}

fn print_text(reports: &[FleetReport]) {
    for r in reports {
        println!(
            "{} gateways: {:.2} calls a gateway by price, {} followers at most, all complete after {} ms, \
             last change known after {} ms",
            r.gateways, r.price, r.followers, r.complete_ms, r.known_ms
        );
        for (kind, row) in &r.rows {
            println!(
                "  {kind:?}: {:.3} a second and gateway, busiest {:.2}, {:.0} bytes a second",
                row.mean / r.seconds,
                row.most / r.seconds,
                row.bytes / r.seconds
            );
        }
    }
    let (Some(first), Some(last)) = (reports.first(), reports.last()) else {
        return;
    };
    if first.gateways == last.gateways {
        return;
    }
    let sizes = (first.gateways, last.gateways);
    println!("growth from {} to {}, as a power of the size, and carried on:", sizes.0, sizes.1);
    print_growth("price of calls, a gateway", sizes, (first.price, last.price));
    for (kind, row) in &last.rows {
        let before = first.rows.get(kind).copied().unwrap_or_default();
        let a_second = |n: f64| n / last.seconds;
        print_growth(
            &format!("{kind:?}, a second at the busiest"),
            sizes,
            (a_second(before.most), a_second(row.most)),
        );
    }
}

fn print_growth(name: &str, sizes: (usize, usize), values: (f64, f64)) {
    let power = power(sizes, values);
    let at = |n: usize| values.1 * (n as f64 / sizes.1 as f64).powf(power);
    let carried: Vec<String> = CARRIED_ON.iter().map(|n| format!("{:.3} at {n}", at(*n))).collect();
    println!(
        "  {name}: {:.3} to {:.3}, power {power:.2}, {}",
        values.0,
        values.1,
        carried.join(", ")
    );
}

fn draw(path: &Path, reports: &[FleetReport]) -> Result<(), Box<dyn Error>> {
    let kinds = [Kind::StalePage, Kind::Watch, Kind::Write, Kind::LoadReport, Kind::ListFetch];
    let line = |kind: Kind| -> Vec<(f64, f64)> {
        let value = |r: &FleetReport| r.rows.get(&kind).map_or(0.0, |row| row.most / r.seconds);
        reports.iter().map(|r| (r.gateways as f64, value(r))).collect()
    };
    let price = reports.iter().map(|r| (r.gateways as f64, r.price)).collect();
    let mut lines: Vec<(String, Vec<(f64, f64)>)> =
        vec![("price of calls, a gateway".to_owned(), price)];
    lines.extend(kinds.map(|kind| (format!("{kind:?} a second, busiest gateway"), line(kind))));
    let size = reports.iter().map(|r| r.gateways).max().unwrap_or(1) as f64;
    let highest = lines.iter().flat_map(|(_, l)| l).map(|p| p.1).fold(1.0, f64::max);
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(20)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..size, (0.01..highest * 1.2).log_scale())?;
    chart.configure_mesh().x_desc("gateways").draw()?;
    for (n, (name, points)) in lines.into_iter().enumerate() {
        let color = Palette99::pick(n).to_rgba();
        chart
            .draw_series(LineSeries::new(points, &color))?
            .label(name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
