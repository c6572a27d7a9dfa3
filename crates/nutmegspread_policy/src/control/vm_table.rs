//! The platform's own list of VMs, and the node records of VMs in it.

use super::ObjectChange;
use indexmap::IndexMap;
use nutmegspread_model::{NodeRecord, VmRecord};

/// VMs by name.
#[derive(Clone, Debug, Default)]
pub struct VmTable {
    vms: IndexMap<String, VmRecord>,
}

impl VmTable {
    /// Takes a change of the list.
    pub fn apply(&mut self, change: ObjectChange<VmRecord>) {
        match change {
            ObjectChange::Listed(objects) => {
                let vms = objects.into_iter();
                self.vms = vms.map(|vm| (vm.metadata.name, vm.spec)).collect();
            }
            ObjectChange::Changed(vm) => {
                self.vms.insert(vm.metadata.name, vm.spec);
            }
            ObjectChange::Deleted(vm) => {
                self.vms.shift_remove(&vm.metadata.name);
            }
            ObjectChange::Confirmed | ObjectChange::Lost => {}
        }
    }

    /// The record of a node whose VM is listed; every record while the platform lists no VM.
    ///
    /// Records outlive VMs that were lost, so that a record alone says nothing of the VM.
    pub fn listed(&self, record: &NodeRecord) -> Option<NodeRecord> {
        if self.vms.is_empty() {
            return Some(record.clone());
        }
        let vm = self.vms.get(&*record.node)?;
        let leaving = record.leaving || vm.leaving;
        Some(NodeRecord {
            leaving,
            ..record.clone()
        })
    }
}
