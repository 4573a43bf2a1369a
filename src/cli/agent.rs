//! The commands around the agent: `agent` runs it; the others send HTTP requests to a running agent, or for `peers` to
//! a dispatcher.

use super::{Error, io_error, load};
use crate::agent::Supervisor;
use crate::counters::print_line;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::Duration;

/// The timeout of a connect or a read.
const HTTP_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs the agent of an operator's file.
pub fn serve(file: PathBuf) -> Result<(), Error> {
    let operator = load(&file)?;
    let mut supervisor = Supervisor::new(operator, file).map_err(io_error("the agent can't start"))?;
    let address = supervisor.address().map_or_else(String::new, |a| a.to_string());
    print_line(format_args!("ochreward agent answers on {address}"));
    supervisor.run().map_err(io_error("the agent's loop ended"))
}

/// Sends a command to the agent and prints its answer.
pub fn send_command(verb: &str, name: Option<&str>, agent: SocketAddr) -> Result<(), Error> {
    let method = if verb == "status" || verb == "health" { "GET" } else { "POST" };
    let path = name.map_or_else(|| format!("/{verb}"), |name| format!("/{verb}/{name}"));
    let (status, body) =
        http_request(agent, method, &path).map_err(io_error(format!("the agent at {agent}")))?;
    print_line(body.trim_end());
    if status == 200 { Ok(()) } else { Err(Error::Agent(status)) }
}

/// Prints a dispatcher's view of its peers, of budgets and the admission level, or of zones, as its operators' endpoint
/// reports it. For peers it fails unless all dispatchers alive have the same view.
pub fn peers(door: SocketAddr, json: bool, what: &str) -> Result<(), Error> {
    let endpoint = || format!("the operators' endpoint at {door}");
    let path = match what {
        "budgets" => "/_budgets",
        "zones" => "/_zones",
        _ => "/_peers",
    };
    let (status, body) = http_request(door, "GET", path).map_err(io_error(endpoint()))?;
    if status != 200 {
        print_line(body.trim_end());
        return Err(Error::Door(status));
    }
    let report: serde_json::Value =
        serde_json::from_str(body.trim_end()).map_err(|e| io_error(endpoint())(std::io::Error::other(e)))?;
    if json {
        print_line(format_args!("{report:#}"));
    } else {
        let lines = match what {
            "budgets" => crate::overload::lines(&report),
            "zones" => crate::zones::lines(&report),
            _ => crate::peers::lines(&report),
        };
        lines.iter().for_each(print_line);
    }
    if path != "/_peers" || report["agreed"] == true { Ok(()) } else { Err(Error::Disagree) }
}

fn http_request(address: SocketAddr, method: &str, path: &str) -> std::io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, HTTP_TIMEOUT)?;
    stream.set_read_timeout(Some(HTTP_TIMEOUT))?;
    write!(stream, "{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n")?;
    let mut text = String::new();
    stream.take(1 << 20).read_to_string(&mut text)?;
    let malformed = || std::io::Error::other("not an HTTP answer");
    let (head, body) = text.split_once("\r\n\r\n").ok_or_else(malformed)?;
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).ok_or_else(malformed)?;
    Ok((status, body.to_string()))
}
