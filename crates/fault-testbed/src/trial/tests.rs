use super::*;

#[test]
fn a_trial_file_is_read_and_errors_name_section_and_key() {
    let text = "[trial]\ningresses = 24\n[ingress]\nknown = old\n[list]\ncalls_per_s = 20\n\
                [operator]\nlog.format = json\n[faults]\ncut = at 1s: link ingress:all -> list silent for 2s\n";
    let trial = Trial::read(text).expect("a trial");
    assert_eq!(
        (
            trial.trial.ingresses,
            trial.trial.instances,
            trial.faults.len()
        ),
        (24, 10, 1)
    );
    assert_eq!(
        trial.operator_file().as_deref(),
        Some("[log]\nformat = json\n")
    );
    for (wrong, why) in [
        ("[trial]\ningresses = 0\n", "[trial] ingresses"),
        ("[trial]\nsize = 3\n", "[trial] size"),
        ("[trial]\nready = 2\n", "[trial] ready"),
        ("[instance]\nroom = 0\n", "[instance] room"),
        ("[instance]\ncold_share = 2\n", "[instance] cold_share"),
        ("[list]\ncalls_per_s = -1\n", "[list] calls_per_s"),
        ("[traffic]\nspread = 0\n", "[traffic] spread"),
        ("[ingress]\nknown = some\n", "[ingress] known: 'some'"),
        (
            "[faults]\ncut = at 1s: eat list\n",
            "[faults] cut: 'eat' is not a known fault",
        ),
        (
            "[operator]\nformat = json\n",
            "[operator] format: is not of the form section.key",
        ),
    ] {
        let error = Trial::read(wrong).expect_err(wrong).to_string();
        assert!(error.contains(why), "{error}");
    }
    assert!(Trial::schema().contains("calls_per_s"));
}
