//! `carobdrift document`

use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;

use carobdrift_units::{EditId, Service, Version};
use clap::{Args, Subcommand};
use eyre::{WrapErr, bail};
use serde_json::Value;

use crate::client::{Client, Error, Refusal, Settings};
use crate::output::print;

/// Exit status if it is unknown whether an edit was accepted.
const OUTCOME_UNKNOWN: u8 = 3;

/// Read and edit documents through the administration API.
#[derive(Debug, Args)]
pub(crate) struct Document {
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, Subcommand)]
enum Action {
    /// Show the current document of a service.
    ///
    /// Prints the document as JSON on standard output, with all defaults, and
    /// its version and the age of its confirmation on standard error.
    ///
    /// Exit status: 0 on success, 1 on failure, 2 on wrong usage.
    Get {
        /// Service to read
        #[arg(env = "CAROBDRIFT_SERVICE")]
        service: Service,

        #[command(flatten)]
        client: Settings,
    },
    Put(Put),
    /// Show the past versions of a document, or one of them.
    ///
    /// Prints JSON.
    ///
    /// Exit status: 0 on success, 1 on failure, 2 on wrong usage.
    History {
        /// Service to read
        #[arg(env = "CAROBDRIFT_SERVICE")]
        service: Service,

        /// Show the document of this version
        #[arg(long, env = "CAROBDRIFT_DOCUMENT_VERSION", value_name = "N")]
        document_version: Option<Version>,

        #[command(flatten)]
        client: Settings,
    },
    /// Show the current version on each instance.
    ///
    /// Prints JSON.
    ///
    /// Exit status: 0 on success, 1 on failure, 2 on wrong usage.
    Status {
        /// Service to read
        #[arg(env = "CAROBDRIFT_SERVICE")]
        service: Service,

        #[command(flatten)]
        client: Settings,
    },
    /// Show the outcome of an edit.
    ///
    /// Prints JSON. An edit that is not found has not been accepted so far.
    ///
    /// Exit status: 0 when the edit was accepted, 1 when it is not found or on
    /// failure, 2 on wrong usage.
    Outcome {
        /// Id of the edit, as chosen for or printed by `document put`
        #[arg(env = "CAROBDRIFT_EDIT_ID")]
        edit_id: EditId,

        #[command(flatten)]
        client: Settings,
    },
}

/// Replace the document of a service.
///
/// The document names the service. The edit is accepted only if the current
/// version is still the expected one.
///
/// Exit status: 0 when the edit was accepted; 1 when it was rejected, also for a
/// conflict with another edit; 2 on wrong usage; 3 when it is unknown whether it
/// was accepted. In the last case the same command with the printed edit id
/// returns the original outcome and never applies the edit twice.
#[derive(Debug, Args)]
struct Put {
    /// Document as a JSON file
    #[arg(value_name = "FILE")]
    file: PathBuf,

    /// Version that the edit is based on; 0 for a new service
    #[arg(long, env = "CAROBDRIFT_EXPECTED_VERSION", value_name = "N")]
    expected_version: Version,

    /// Id of the edit, for retries and for `document outcome`; random if not given
    #[arg(long, env = "CAROBDRIFT_EDIT_ID", value_name = "ID")]
    edit_id: Option<EditId>,

    #[command(flatten)]
    client: Settings,
}

impl Document {
    pub(crate) async fn execute(self) -> eyre::Result<ExitCode> {
        let (client, path) = match self.action {
            Action::Get { service, client } => return get(client, &service).await,
            Action::Put(put) => return put.execute().await,
            Action::History {
                service,
                document_version,
                client,
            } => {
                let version =
                    document_version.map_or(String::new(), |version| format!("/{version}"));
                (client, format!("/v1/documents/{service}/history{version}"))
            }
            Action::Status { service, client } => {
                (client, format!("/v1/documents/{service}/status"))
            }
            Action::Outcome { edit_id, client } => (client, format!("/v1/edits/{edit_id}")),
        };
        let response = Client::open(client)?.get(&path).await?;
        print(format_args!("{response:#}"))?;
        Ok(ExitCode::SUCCESS)
    }
}

async fn get(client: Settings, service: &Service) -> eyre::Result<ExitCode> {
    let client = Client::open(client)?;
    let response = client.get(&format!("/v1/documents/{service}")).await?;
    let json = response["document"].to_string();
    match carobdrift_document::Document::parse(json.as_bytes()) {
        // Prints the fields in the order of the model instead of alphabetically.
        Ok(document) => print(serde_json::to_string_pretty(&document)?)?,
        // An entry of a newer version may have fields that this program does not
        // know.
        Err(_) => print(format_args!("{:#}", response["document"]))?,
    }
    let confirmation = match &response["confirmed_ms"] {
        Value::Number(age) => format!("confirmed {age} ms ago"),
        _ => "not confirmed".to_owned(),
    };
    eprintln!("version {}, {confirmation}", response["version"]);
    Ok(ExitCode::SUCCESS)
}

impl Put {
    async fn execute(self) -> eyre::Result<ExitCode> {
        let file = self.file.display();
        let bytes = fs::read(&self.file).wrap_err_with(|| format!("could not read {file}"))?;
        let document = match carobdrift_document::Document::parse(&bytes) {
            Ok(document) => document,
            Err(rejection) => {
                for fault in &rejection.faults {
                    println!("{file}: {fault}");
                }
                bail!("{file} was not sent: {rejection}");
            }
        };
        let service = &document.service;
        let expected = self.expected_version;
        let edit_id = self.edit_id.unwrap_or_else(EditId::random);
        let path = format!("/v1/documents/{service}?expected_version={expected}&edit_id={edit_id}");
        match Client::open(self.client)?.put(&path, &bytes.into()).await {
            Ok(response) => {
                println!(
                    "accepted: version {} of {service}, in force on {} of {} instances, edit {edit_id}",
                    response["version"], response["in_force"], response["cell_size"]
                );
                Ok(ExitCode::SUCCESS)
            }
            Err(Error::Refused(refusal)) if !is_unknown(&refusal) => {
                print_refusal(&refusal, service);
                Ok(ExitCode::FAILURE)
            }
            Err(error @ (Error::Connect { .. } | Error::Request(_))) => {
                println!("not sent: {error}");
                Ok(ExitCode::FAILURE)
            }
            Err(error) => {
                println!("unknown whether the edit was accepted: {error}");
                println!("edit id: {edit_id}");
                println!("to query the outcome: carobdrift document outcome {edit_id}");
                println!(
                    "to retry the edit without applying it twice: carobdrift document put \
                     --expected-version {expected} --edit-id {edit_id} {file}"
                );
                Ok(ExitCode::from(OUTCOME_UNKNOWN))
            }
        }
    }
}

/// Whether a refusal leaves it unknown if the edit was accepted. An entry that
/// fails without a typed error may already have written the edit.
fn is_unknown(refusal: &Refusal) -> bool {
    match refusal.error.as_deref() {
        Some("unavailable" | "no-quorum" | "not-ready") => false,
        Some("unknown") => true,
        _ => refusal.status.is_server_error(),
    }
}

fn print_refusal(refusal: &Refusal, service: &Service) {
    match (refusal.error.as_deref(), refusal.current_version) {
        (Some("conflict"), Some(current)) => println!(
            "rejected: {service} is at version {current}; read it, repeat the change on it and \
             put it again with --expected-version {current}"
        ),
        _ => println!("rejected: {refusal}"),
    }
    for fault in &refusal.faults {
        println!("{}: {}", fault.path, fault.problem);
    }
}
