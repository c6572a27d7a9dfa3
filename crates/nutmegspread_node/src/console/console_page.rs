//! The pages of the console.

/// One page.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum ConsolePage {
    /// What is in force where, rollouts and coverage.
    #[default]
    Status,
    /// Failure domains.
    Domains,
    /// Services.
    Services,
    /// Targets.
    Targets,
    /// Planned moves between versions.
    Rollouts,
    /// Taking domains and targets out, and returning them.
    Serving,
    /// The draft's differences, its download and its application.
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

    /// Name in addresses and forms.
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

    /// Title for people.
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

    /// Page with a name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|page| page.name() == name)
    }

    /// Whether the page edits the section of the document that has its name.
    pub fn is_section(self) -> bool {
        matches!(
            self,
            Self::Domains | Self::Services | Self::Targets | Self::Rollouts
        )
    }
}
