//! The platform's list of VMs, which decides which node records are valid.

use super::ObjectChange;
use indexmap::IndexMap;
use nutmegspread_model::{NodeRecord, VmRecord};

/// The platform's VMs, by name.
#[derive(Clone, Debug, Default)]
pub struct VmTable {
    vms: IndexMap<String, VmRecord>,
}

impl VmTable {
    /// Applies a change of the list.
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

    /// Returns the record if the node's VM is listed, and `None` if not; while the platform lists
    /// no VM at all, returns the record unchanged.
    ///
    /// The record returned is marked as leaving if the record or the VM is.
    ///
    /// The record of a lost VM remains in the platform's store, so a record alone does not prove
    /// that its VM exists.
    pub fn record_if_listed(&self, record: &NodeRecord) -> Option<NodeRecord> {
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
