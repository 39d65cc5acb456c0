use super::*;

#[test]
fn positions_count_characters_from_one() {
    let text = "a\nbü c\n";
    let position = |offset| {
        let Position { line, column } = Position::of_offset(text, offset);
        (line, column)
    };
    assert_eq!(position(0), (1, 1));
    assert_eq!(position(2), (2, 1));
    assert_eq!(position(6), (2, 4));
    assert_eq!(position(4), (2, 2), "in the middle of a character");
    assert_eq!(position(99), (3, 1));
}
