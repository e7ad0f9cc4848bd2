//! Settings of the stand-ins.

use std::net::SocketAddr;

use crate::diagnostic::DiagnosticList;
use crate::domain::{VmRecord, VmRole};
use crate::reader::{DiagnosticSink, TableReader};
use crate::resources::ResourceVector;

type Result<T> = std::result::Result<T, DiagnosticList>;

/// A VM that a stand-in replaces.
pub type StandInVm = VmRecord;

/// Settings of all stand-ins.
#[derive(Clone, Debug, PartialEq)]
pub struct StandInSettings {
    /// Address of the store.
    pub store: SocketAddr,
    /// Address of the list of VMs.
    pub vms: SocketAddr,
    /// Workers and upstreams.
    pub machines: Vec<StandInVm>,
}

impl StandInSettings {
    /// Parses and checks settings.
    ///
    /// # Errors
    /// Returns all diagnostics, in order of position.
    pub fn parse(source: &str, text: &str) -> Result<Self> {
        let (table, mut sink) = DiagnosticSink::parse(source, text);
        let mut reader = TableReader::new(&table);
        let store = reader.parsed("store", ADDRESS_FORMAT, &mut sink);
        let vms = reader.parsed("vms", ADDRESS_FORMAT, &mut sink);
        let mut machines: Vec<Option<VmRecord>> = Vec::new();
        for mut worker in reader.tables("worker", &mut sink) {
            machines.push(read_worker(&mut worker, &mut sink));
            worker.finish(&mut sink);
        }
        for mut upstream in reader.tables("upstream", &mut sink) {
            machines.push(read_upstream(&mut upstream, &mut sink));
            upstream.finish(&mut sink);
        }
        reader.finish(&mut sink);
        let machines: Option<Vec<VmRecord>> = machines.into_iter().collect();
        let settings = match (store, vms, machines) {
            (Some(store), Some(vms), Some(machines)) => Some(Self { store, vms, machines }),
            _ => None,
        };
        sink.finish(settings)
    }
}

const ADDRESS_FORMAT: &str = "an address like \"127.0.0.1:7001\"";

fn read_vm(
    reader: &mut TableReader<'_, '_>,
    sink: &mut DiagnosticSink<'_>,
    role: Option<VmRole>,
) -> Option<VmRecord> {
    let id = reader.string("name", sink);
    let domain = reader.string("failure_domain", sink);
    let rack = reader.string("rack", sink);
    let address = reader.parsed("address", ADDRESS_FORMAT, sink);
    Some(VmRecord {
        id: id?,
        domain: domain?.into(),
        rack: rack?.into(),
        address: address?,
        leaving: false,
        role: role?,
    })
}

fn read_worker(
    reader: &mut TableReader<'_, '_>,
    sink: &mut DiagnosticSink<'_>,
) -> Option<VmRecord> {
    let max = u64::from(u32::MAX);
    let millicores = reader.integer("processors_milli", 1..=max, None, sink);
    let memory = reader.integer("memory_mib", 1..=max, None, sink);
    let accelerators = reader.integer("accelerators", 0..=max, Some(0), sink);
    let capacity = (|| {
        Some(ResourceVector::new(
            u32::try_from(millicores?).ok()?,
            u32::try_from(memory?).ok()?,
            u32::try_from(accelerators?).ok()?,
        ))
    })();
    let role = capacity.map(|capacity| VmRole::Worker { capacity });
    read_vm(reader, sink, role)
}

fn read_upstream(
    reader: &mut TableReader<'_, '_>,
    sink: &mut DiagnosticSink<'_>,
) -> Option<VmRecord> {
    let service = reader.string("service", sink);
    let slots = reader.integer("slots", 1..=1_000, Some(8), sink);
    let role = match (service, slots) {
        (Some(service), Some(slots)) => Some(VmRole::Upstream {
            service: service.into(),
            slots: u32::try_from(slots).unwrap_or(u32::MAX),
        }),
        _ => None,
    };
    read_vm(reader, sink, role)
}
