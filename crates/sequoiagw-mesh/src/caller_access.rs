//! Check of a caller's key, and the headers that name its workspace to the backend server.

use std::rc::Rc;

use sequoiagw_http::RequestHead;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::HeaderField;
use sequoiagw_protocol::RankLevel;

use crate::HeaderNames;
use crate::MeshRoute;
use crate::MeshVersion;
use crate::Workspace;

/// What a request's key grants under the version in force.
#[derive(Clone, Debug)]
pub(crate) enum CallerAccess {
    /// The version has no list of workspaces, so keys mean nothing and headers are forwarded unchanged.
    Unchecked,
    /// The request has no key, or a public route ignores its unknown key.
    Anonymous,
    /// The workspace holds the request's key.
    Member(Rc<Workspace>),
}

impl CallerAccess {
    /// Checks the key of a request.
    ///
    /// Errors: [`ErrorKind::ApiKeyUnknown`] if no workspace holds the key, or if the request has
    /// several keys, and the route isn't public.
    pub(crate) fn check(
        version: &MeshVersion,
        route: &MeshRoute,
        head: &RequestHead,
        names: &HeaderNames,
    ) -> Result<Self, ErrorKind> {
        if !version.checks_keys() {
            return Ok(Self::Unchecked);
        }
        let fields = head.headers.iter();
        let mut keys = fields.filter(|field| field.name.eq_ignore_ascii_case(names.api_key));
        let Some(key) = keys.next() else {
            return Ok(Self::Anonymous);
        };
        // Several keys could belong to several workspaces.
        let is_single = keys.next().is_none();
        let holder = version.find_workspace(&key.value);
        match holder.filter(|_| is_single) {
            Some(workspace) => Ok(Self::Member(Rc::clone(workspace))),
            None if route.public => Ok(Self::Anonymous),
            None => Err(ErrorKind::ApiKeyUnknown),
        }
    }

    /// Workspace of the caller.
    pub(crate) fn workspace(&self) -> Option<&Rc<Workspace>> {
        match self {
            Self::Unchecked | Self::Anonymous => None,
            Self::Member(workspace) => Some(workspace),
        }
    }

    /// Rank level of the caller's requests on a route.
    pub(crate) fn level(&self, route: &MeshRoute) -> RankLevel {
        let workspace_level = self.workspace().and_then(|workspace| workspace.level);
        workspace_level.unwrap_or(route.level)
    }

    /// Whether a header of the caller is forwarded. The key isn't, and the workspace is named only
    /// by the node itself.
    pub(crate) fn forwards(&self, header: &str, names: &HeaderNames) -> bool {
        let is_reserved = [names.api_key, names.workspace]
            .iter()
            .any(|name| name.eq_ignore_ascii_case(header));
        matches!(self, Self::Unchecked) || !is_reserved
    }

    /// Header that names the workspace to the backend server.
    pub(crate) fn workspace_header(&self, names: &HeaderNames) -> Option<HeaderField> {
        let workspace = self.workspace()?;
        Some(HeaderField {
            name: names.workspace.to_owned(),
            value: workspace.name.clone(),
        })
    }
}
