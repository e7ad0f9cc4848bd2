//! Implementation of the commands.

use std::fs;
use std::io::Write;
use std::path::Path;
use std::process::ExitCode;
use std::thread::sleep;
use std::time::Duration;

use anyhow::{Context, Result, anyhow, bail};
use hyper::{Method, Response, StatusCode};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tokio::runtime;
use tokio::signal::unix::{SignalKind, signal};

use crate::cli::{Cancel, Confirm, Dump, Kelplink, KelplinkCmd, Plan, SettingsCmd, Status};
use crate::client::HttpClient;
use crate::config::{PlanAction, PlanDocument};
use crate::demo::{DemoSettings, run_demo};
use crate::diagnostic::DiagnosticList;
use crate::entry::EntryProcess;
use crate::logging::{LogIdentity, start_logging};
use crate::message::{JobView, StatusView};
use crate::node::NodeProcess;
use crate::platform::{SETTINGS_VARIABLE, parse_platform_settings};
use crate::settings::EntrySettings;
use crate::standin::{StandInServer, StandInSettings};

/// Default address of the operators' interface.
const DEFAULT_OPERATORS_ADDRESS: &str = "127.0.0.1:7101";
/// Default address of the callers' interface.
const DEFAULT_CALLERS_ADDRESS: &str = "127.0.0.1:7100";
/// Timeout for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// Interval at which a running process checks its threads.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Exit code of a check that found errors, and of every other failure.
const EXIT_FAILED: u8 = 1;
/// Exit code if a plan is refused.
const EXIT_REFUSED: u8 = 3;
/// Exit code of a confirm whose plan may still be accepted.
const EXIT_UNSETTLED: u8 = 4;

macro_rules! print_line {
    ($($part:tt)*) => { print_line(format_args!($($part)*)) };
}

/// Runs the command given on the command line.
pub fn run_command() -> ExitCode {
    let flags = Kelplink::from_env_or_exit();
    match run(flags) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("kelplink: {error:#}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn run(flags: Kelplink) -> Result<ExitCode> {
    match flags.subcommand {
        KelplinkCmd::Serve(serve) => match serve.settings {
            Some(path) => run_serve(&path),
            None => run_node(),
        },
        KelplinkCmd::Settings(settings) => match settings.subcommand {
            SettingsCmd::Check(check) => check_settings(&check.file),
        },
        KelplinkCmd::Plan(plan) => run_plan(&plan),
        KelplinkCmd::Confirm(confirm) => run_confirm(&confirm),
        KelplinkCmd::Cancel(cancel) => run_cancel(&cancel),
        KelplinkCmd::Status(status) => run_status(&status),
        KelplinkCmd::Dump(dump) => run_dump(&dump),
        KelplinkCmd::StandIn(stand_in) => run_stand_in(&stand_in.settings),
        KelplinkCmd::Demo(demo) => {
            let _log = start_logging(LogIdentity::default());
            let defaults = DemoSettings::default();
            let settings = DemoSettings {
                seed: demo.seed.unwrap_or(defaults.seed),
                callers: demo.callers.unwrap_or(defaults.callers),
                jobs: demo.jobs.unwrap_or(defaults.jobs),
            };
            Ok(exit_code(run_demo(&settings, start_metrics()?)?))
        }
    }
}

fn exit_code(success: bool) -> ExitCode {
    match success {
        true => ExitCode::SUCCESS,
        false => ExitCode::from(EXIT_FAILED),
    }
}

fn start_metrics() -> Result<PrometheusHandle> {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder).map_err(|error| anyhow!("{error}"))?;
    Ok(handle)
}

fn read_text(path: &Path) -> Result<String> {
    let bytes = fs::read(path).with_context(|| path.display().to_string())?;
    String::from_utf8(bytes).with_context(|| format!("{} is not UTF-8", path.display()))
}

fn load_settings(path: &Path) -> Result<std::result::Result<EntrySettings, DiagnosticList>> {
    let text = read_text(path)?;
    Ok(EntrySettings::parse(&path.display().to_string(), &text))
}

fn check_settings(path: &Path) -> Result<ExitCode> {
    match load_settings(path)? {
        Ok(_) => {
            print_line!("{}: no errors", path.display());
            Ok(ExitCode::SUCCESS)
        }
        Err(diagnostics) => {
            eprint!("{diagnostics}");
            Ok(ExitCode::from(EXIT_FAILED))
        }
    }
}

fn run_serve(path: &Path) -> Result<ExitCode> {
    let settings = match load_settings(path)? {
        Ok(settings) => settings,
        Err(diagnostics) => {
            eprint!("{diagnostics}");
            return Ok(ExitCode::from(EXIT_FAILED));
        }
    };
    let _log = start_logging(LogIdentity {
        domain: settings.domain.to_string(),
        entry: settings.name.to_string(),
    });
    let process = EntryProcess::start(&settings, start_metrics()?)?;
    match wait_for_signal(|| process.has_ended_thread())? {
        true => bail!("a thread of the process has ended"),
        false => {
            let second_signal = std::thread::spawn(|| wait_for_signal(|| false));
            let drain = std::thread::spawn(move || process.drain());
            while !drain.is_finished() {
                if second_signal.is_finished() {
                    eprintln!("kelplink: second signal: requests in flight are aborted");
                    return Ok(ExitCode::from(EXIT_FAILED));
                }
                sleep(WATCH_INTERVAL);
            }
            Ok(exit_code(drain.join().unwrap_or(false)))
        }
    }
}

/// Runs the process on the platform, with the settings file that an environment variable names.
fn run_node() -> Result<ExitCode> {
    let path = std::env::var_os(SETTINGS_VARIABLE)
        .with_context(|| format!("neither --settings nor {SETTINGS_VARIABLE} names a file"))?;
    let path = Path::new(&path);
    let settings = match parse_platform_settings(&path.display().to_string(), &read_text(path)?) {
        Ok(settings) => settings,
        Err(diagnostics) => {
            eprint!("{diagnostics}");
            return Ok(ExitCode::from(EXIT_FAILED));
        }
    };
    let _log = start_logging(LogIdentity {
        domain: settings.domain.to_string(),
        entry: settings.name.to_string(),
    });
    NodeProcess::new(settings, start_metrics()?).run()?;
    Ok(ExitCode::SUCCESS)
}

/// Waits for a termination signal. Returns true if `failed` turned true before a signal arrived.
fn wait_for_signal(failed: impl Fn() -> bool) -> Result<bool> {
    let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        loop {
            tokio::select! {
                _ = terminate.recv() => return Ok(false),
                _ = interrupt.recv() => return Ok(false),
                () = tokio::time::sleep(WATCH_INTERVAL) => {
                    if failed() {
                        return Ok(true);
                    }
                }
            }
        }
    })
}

fn run_stand_in(path: &Path) -> Result<ExitCode> {
    let text = read_text(path)?;
    let settings = match StandInSettings::parse(&path.display().to_string(), &text) {
        Ok(settings) => settings,
        Err(diagnostics) => {
            eprint!("{diagnostics}");
            return Ok(ExitCode::from(EXIT_FAILED));
        }
    };
    let _log = start_logging(LogIdentity::default());
    let server = StandInServer::start(&settings)?;
    print_line!("store on {}, list of VMs on {}", settings.store, settings.vms);
    let failed = wait_for_signal(|| server.ended())?;
    server.stop();
    Ok(exit_code(!failed))
}

fn send_request(
    method: Method,
    address: &Option<String>,
    default: &str,
    path: &str,
    body: String,
) -> Result<Response<bytes::Bytes>> {
    let address = address.as_deref().unwrap_or(default);
    let socket = address.parse().with_context(|| format!("{address}: expected HOST:PORT"))?;
    let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
    let http = runtime.block_on(async {
        HttpClient::new().call(method, socket, path, body, ANSWER_TIMEOUT, MAX_ANSWER_BYTES).await
    });
    http.map_err(|error| anyhow!("{address} did not answer: {error:?}"))
}

/// Prints a line. If standard output is closed, the process exits instead of panicking.
fn print_line(line: std::fmt::Arguments<'_>) {
    if writeln!(std::io::stdout(), "{line}").is_err() {
        std::process::exit(i32::from(EXIT_FAILED));
    }
}

fn body_text(response: &Response<bytes::Bytes>) -> String {
    String::from_utf8_lossy(response.body()).into_owned()
}

fn run_plan(plan: &Plan) -> Result<ExitCode> {
    let (path, body) = match plan.withdraw {
        true => (format!("/v1/plan?withdraw={}", plan.intent), String::new()),
        false => ("/v1/plan".to_owned(), read_text(Path::new(&plan.intent))?),
    };
    let response = send_request(Method::POST, &plan.entry, DEFAULT_OPERATORS_ADDRESS, &path, body)?;
    match response.status() {
        StatusCode::OK => {}
        StatusCode::UNPROCESSABLE_ENTITY => {
            let mut diagnostics: DiagnosticList = serde_json::from_slice(response.body())?;
            diagnostics
                .0
                .iter_mut()
                .for_each(|diagnostic| diagnostic.source.clone_from(&plan.intent));
            eprint!("{diagnostics}");
            return Ok(ExitCode::from(EXIT_FAILED));
        }
        _ => bail!("{}", body_text(&response)),
    }
    let document: PlanDocument = serde_json::from_slice(response.body())?;
    match plan.json {
        true => print_line!("{}", body_text(&response)),
        false => print_plan(&document),
    }
    match document.refusal() {
        Some(_) => Ok(ExitCode::from(EXIT_REFUSED)),
        None => Ok(ExitCode::SUCCESS),
    }
}

fn print_plan(plan: &PlanDocument) {
    print_line!("plan against revision {}", plan.base);
    print_line!("{:<8} {:>6}  {:<24} {:<16} REASON", "ACTION", "TASKS", "INTENT", "FAILURE DOMAIN");
    for change in &plan.changes {
        let domain = change.domain.as_deref().unwrap_or("-");
        let action = action_name(change.action);
        print_line!(
            "{action:<8} {:>6}  {:<24} {domain:<16} {}",
            change.count,
            change.subject,
            change.reason
        );
    }
}

fn action_name(action: PlanAction) -> &'static str {
    match action {
        PlanAction::Start => "start",
        PlanAction::Stop => "stop",
        PlanAction::Move => "move",
        PlanAction::Wait => "wait",
        PlanAction::Refuse => "refuse",
        PlanAction::Change => "change",
    }
}

fn run_confirm(confirm: &Confirm) -> Result<ExitCode> {
    let body = match &confirm.plan {
        Some(path) => read_text(path)?,
        None => std::io::read_to_string(std::io::stdin())?,
    };
    let response =
        send_request(Method::POST, &confirm.entry, DEFAULT_OPERATORS_ADDRESS, "/v1/confirm", body)?;
    if confirm.json {
        print_line!("{}", body_text(&response));
    }
    match response.status() {
        StatusCode::OK if confirm.json => Ok(ExitCode::SUCCESS),
        StatusCode::OK => {
            print_line!("in force: {}", body_text(&response));
            Ok(ExitCode::SUCCESS)
        }
        StatusCode::CONFLICT => {
            eprintln!(
                "another plan was accepted in the meantime; a new plan for the same request:"
            );
            if let Ok(fresh) = serde_json::from_slice(response.body()) {
                print_plan(&fresh);
            }
            Ok(ExitCode::from(EXIT_REFUSED))
        }
        StatusCode::GATEWAY_TIMEOUT => {
            eprintln!("{}", body_text(&response));
            Ok(ExitCode::from(EXIT_UNSETTLED))
        }
        _ => {
            eprintln!("{}", body_text(&response));
            Ok(ExitCode::from(EXIT_REFUSED))
        }
    }
}

fn run_cancel(cancel: &Cancel) -> Result<ExitCode> {
    let Some((workspace, id)) = cancel.job.split_once('/') else {
        bail!("{}: expected WORKSPACE/ID", cancel.job);
    };
    let path = format!("/v1/workspaces/{workspace}/jobs/{id}");
    let response =
        send_request(Method::DELETE, &cancel.entry, DEFAULT_CALLERS_ADDRESS, &path, String::new())?;
    if response.status() != StatusCode::OK {
        bail!("{}", body_text(&response));
    }
    match cancel.json {
        true => print_line!("{}", body_text(&response)),
        false => {
            let view: JobView = serde_json::from_slice(response.body())?;
            print_line!(
                "{} is cancelled; {} tasks are still stopping",
                cancel.job,
                view.running.len()
            );
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn run_status(status: &Status) -> Result<ExitCode> {
    let response = send_request(
        Method::GET,
        &status.entry,
        DEFAULT_OPERATORS_ADDRESS,
        "/v1/status",
        String::new(),
    )?;
    if response.status() != StatusCode::OK {
        bail!("{}", body_text(&response));
    }
    match status.json {
        true => print_line!("{}", body_text(&response)),
        false => print_status(&serde_json::from_slice(response.body())?),
    }
    Ok(ExitCode::SUCCESS)
}

fn print_status(status: &StatusView) {
    let store = if status.store_up { "up" } else { "down" };
    print_line!("asked {}: revision {}, store {store}", status.entry, status.revision);
    print_line!(
        "{:<16} {:<16} {:>8} {:>10}  STATE",
        "ENTRY",
        "FAILURE DOMAIN",
        "REVISION",
        "SILENT ms"
    );
    for entry in &status.entries {
        let revision = entry.revision.map_or("-".to_owned(), |revision| revision.to_string());
        let state = match entry {
            entry if entry.draining => "stopping",
            entry if entry.leads => "leads",
            entry if entry.revision.is_none() => "silent",
            _ => "follows",
        };
        print_line!(
            "{:<16} {:<16} {revision:>8} {:>10}  {state}",
            entry.entry,
            entry.domain,
            entry.silent_ms
        );
    }
    print_line!(
        "{:<16} {:>7} {:>22} {:>22}",
        "FAILURE DOMAIN",
        "WORKERS",
        "FREE CORES/MiB/ACC",
        "OF"
    );
    for (domain, summary) in &status.domains {
        let format_resources = |v: &crate::resources::ResourceVector| {
            format!("{:.1}/{}/{}", f64::from(v.millicores) / 1e3, v.memory_mib, v.accelerators)
        };
        let (free, total) = (format_resources(&summary.free), format_resources(&summary.total));
        print_line!("{domain:<16} {:>7} {free:>22} {total:>22}", summary.workers);
    }
    for (intent, count) in &status.intents {
        print_line!("intent {intent}: {count} tasks");
    }
}

fn run_dump(dump: &Dump) -> Result<ExitCode> {
    let response = send_request(
        Method::GET,
        &dump.entry,
        DEFAULT_OPERATORS_ADDRESS,
        "/v1/dump",
        String::new(),
    )?;
    let value: serde_json::Value = serde_json::from_slice(response.body())?;
    print_line!("{}", serde_json::to_string_pretty(&value)?);
    Ok(ExitCode::SUCCESS)
}
