//! The pages of the console.

/// A page of the console.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum ConsolePage {
    /// Revisions in force on the nodes, rollouts, and coverage of answers.
    #[default]
    Status,
    /// Edits the failure domains.
    Domains,
    /// Edits the services.
    Services,
    /// Edits the targets.
    Targets,
    /// Edits the rollouts, which move traffic between versions.
    Rollouts,
    /// Drains failure domains and targets, or returns them to service.
    Serving,
    /// Shows what the draft changes; downloads or applies it.
    Review,
}

impl ConsolePage {
    /// All pages in the order of the menu.
    pub const ALL: [Self; 7] = [
        Self::Status,
        Self::Serving,
        Self::Domains,
        Self::Services,
        Self::Targets,
        Self::Rollouts,
        Self::Review,
    ];

    /// Name of the page in URLs and forms.
    pub fn name(self) -> &'static str {
        match self {
            Self::Status => "status",
            Self::Domains => "domains",
            Self::Services => "services",
            Self::Targets => "targets",
            Self::Rollouts => "rollouts",
            Self::Serving => "serving",
            Self::Review => "review",
        }
    }

    /// Title shown to operators.
    pub fn title(self) -> &'static str {
        match self {
            Self::Status => "Status",
            Self::Domains => "Failure domains",
            Self::Services => "Services",
            Self::Targets => "Targets",
            Self::Rollouts => "Planned moves",
            Self::Serving => "Drain and return",
            Self::Review => "Review and apply",
        }
    }

    /// Page with a given name; `None` if there is no such page.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|page| page.name() == name)
    }

    /// Whether the page edits a section of the document. The section has the same name as the page.
    pub fn is_section(self) -> bool {
        matches!(
            self,
            Self::Domains | Self::Services | Self::Targets | Self::Rollouts
        )
    }
}
